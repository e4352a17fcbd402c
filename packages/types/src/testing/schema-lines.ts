/** Schemas as lines of text with their messages, for snapshots of what operators and clients see. */

/** Returns a property of a schema object, whose type depends on the kind of schema. */
const propertyOf = (raw: unknown, name: string): unknown =>
  typeof raw === 'object' && raw !== null ? Reflect.get(raw, name) : undefined;
const listOf = (raw: unknown, name: string): readonly unknown[] => {
  const list = propertyOf(raw, name);
  return Array.isArray(list) ? list : [];
};
const isSchema = (raw: unknown): boolean => propertyOf(raw, 'kind') === 'schema';
const textOf = (raw: unknown): string => {
  if (raw instanceof RegExp) return String(raw);
  return typeof raw === 'function' ? 'function' : JSON.stringify(raw);
};

const checkText = (check: unknown): string => {
  const requirement = propertyOf(check, 'requirement');
  const message = propertyOf(check, 'message');
  return [
    textOf(propertyOf(check, 'type')),
    ...(requirement === undefined ? [] : [textOf(requirement)]),
    ...(typeof message === 'string' ? [`(${message})`] : []),
  ].join(' ');
};

const wrappers: ReadonlySet<unknown> = new Set(['optional', 'nullish', 'nullable']);

const linesOf = (schema: unknown, path: string, presence: string): readonly string[] => {
  const type = propertyOf(schema, 'type');
  if (wrappers.has(type)) {
    const fallback = propertyOf(schema, 'default');
    const defaultText = fallback === undefined ? '' : `, default ${textOf(fallback)}`;
    return linesOf(propertyOf(schema, 'wrapped'), path, `${String(type)}${defaultText}`);
  }
  const [, ...checks] = listOf(schema, 'pipe');
  const message = propertyOf(schema, 'message');
  const literal = propertyOf(schema, 'literal');
  const key = propertyOf(schema, 'key');
  const head = [
    `${path}: ${String(type)}, ${presence}`,
    ...(literal === undefined ? [] : [textOf(literal)]),
    ...(typeof key === 'string' ? [`by ${textOf(key)}`] : []),
    ...(typeof message === 'string' ? [`(${message})`] : []),
    ...checks.map((check) => `| ${checkText(check)}`),
  ].join(' ');
  const entries = propertyOf(schema, 'entries');
  const members = typeof entries === 'object' && entries !== null ? Object.entries(entries) : [];
  const choices = listOf(schema, 'options');
  const areSchemas = choices.some(isSchema);
  return [
    choices.length > 0 && !areSchemas ? `${head} of ${JSON.stringify(choices)}` : head,
    ...members.flatMap(([name, member]) => linesOf(member, `${path}.${name}`, 'required')),
    ...(areSchemas
      ? choices.flatMap((choice, index) => linesOf(choice, `${path}<${index}>`, 'alternative'))
      : []),
    ...listOf(schema, 'items').flatMap((item, index) =>
      linesOf(item, `${path}[${index}]`, 'required'),
    ),
    ...['item', 'key', 'value'].flatMap((part) => {
      const inner = propertyOf(schema, part);
      return isSchema(inner) ? linesOf(inner, `${path}.{${part}}`, 'each') : [];
    }),
  ];
};

/** Formats a valibot schema as lines with path, type, presence, default, and checks with their messages. */
export const schemaLines = (schema: unknown, name: string): string =>
  linesOf(schema, name, 'required').join('\n');
