/** Plain-text tables for the terminal. */

const columnSeparator = '  ';

/** Formats rows as lines of text, with each column as wide as its widest cell. */
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
