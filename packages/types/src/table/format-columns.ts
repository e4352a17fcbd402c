/** Plain-text tables for terminals. */

const columnSeparator = '  ';

/** Formats rows of cells as text, each column as wide as its widest cell; one line per row. */
export const formatColumns = (rows: readonly (readonly string[])[]): string => {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join(columnSeparator)
        .trimEnd(),
    )
    .join('\n');
};
