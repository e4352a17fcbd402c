/** Outlines of JSON values, for tests that check the structure of a body but not its content. */

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

/** Lists the keys and value types of a JSON value, one per line, in document order. */
export const jsonShape = (value: unknown): string => {
  const parsed: unknown = JSON.parse(JSON.stringify(value));
  return [...new Set(linesOf(parsed, ''))].join('\n');
};
