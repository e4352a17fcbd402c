/** Lines of cells as text, each column as wide as it must be. */
export const formatColumns = (lines: readonly (readonly string[])[]): string => {
  const wide = (lines[0] ?? []).map((_, column) =>
    Math.max(...lines.map((line) => line[column]?.length ?? 0)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(wide[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
};
