/** Outlines of JSON values, for tests that hold the form of a body and not its content. */

const typeName = (value: unknown): string => (value === null ? 'null' : typeof value);

const linesOf = (value: unknown, path: string): readonly string[] => {
  if (Array.isArray(value))
    return value.length === 0
      ? [`${path}[]: empty`]
      : value.flatMap((item: unknown) => linesOf(item, `${path}[]`));
  if (typeof value === 'object' && value !== null)
    return Object.entries(value).flatMap(([key, member]) =>
      linesOf(member, path === '' ? key : `${path}.${key}`),
    );
  return [`${path}: ${typeName(value)}`];
};

/** The keys and value types of a JSON value, one a line, in the order in which they stand. */
export const jsonShape = (value: unknown): string => {
  const asSent: unknown = JSON.parse(JSON.stringify(value));
  return [...new Set(linesOf(asSent, ''))].join('\n');
};
