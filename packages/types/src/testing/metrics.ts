/** Metrics as printed, without their values, which change from run to run. */
export const metricLines = (text: string): string =>
  text
    .trimEnd()
    .split('\n')
    .map((line) => (line.startsWith('#') ? line : line.replace(/ [^ ]*$/, '')))
    .join('\n');
