import { formatColumns } from '@switchwheel/types';

/** Whether a value is an object that can be looked into. */
export const isObject = (raw: unknown): raw is object => typeof raw === 'object' && raw !== null;

/** A member of an object read from JSON. */
export const at = (raw: unknown, name: string): unknown =>
  isObject(raw) ? new Map<string, unknown>(Object.entries(raw)).get(name) : undefined;
export const listAt = (raw: unknown, name: string): readonly unknown[] => {
  const found = at(raw, name);
  return Array.isArray(found) ? found : [];
};
export const text = (raw: unknown): string => {
  if (raw === undefined || raw === null) return '-';
  return typeof raw === 'object'
    ? JSON.stringify(raw)
    : typeof raw === 'string'
      ? raw
      : typeof raw === 'number' || typeof raw === 'boolean'
        ? String(raw)
        : '-';
};

/** Rows under headings, each column as wide as it must be. */
export const table = (heads: readonly string[], rows: readonly (readonly string[])[]): string =>
  formatColumns([heads, ...rows]);

const faultLines = (body: unknown): readonly string[] =>
  listAt(body, 'faults').map((one) => `  ${text(at(one, 'path'))}: ${text(at(one, 'text'))}`);

/** A refusal or a errorKind as lines for people. */
export const refusal = (body: unknown): string =>
  [`${text(at(body, 'kind'))}: ${text(at(body, 'text'))}`, ...faultLines(body)].join('\n');
