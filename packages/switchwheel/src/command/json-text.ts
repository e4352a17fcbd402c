/** Reads members of parsed JSON whose form is not known for sure, and prints them. */

import { formatColumns } from '@switchwheel/types';

/** Whether a value is an object that can be looked into. */
export const isObject = (raw: unknown): raw is object => typeof raw === 'object' && raw !== null;

/** A member of an object read from JSON. */
export const memberOf = (raw: unknown, name: string): unknown =>
  isObject(raw) ? new Map<string, unknown>(Object.entries(raw)).get(name) : undefined;
/** A member of an object that is a list; an empty list if it is none. */
export const listMember = (raw: unknown, name: string): readonly unknown[] => {
  const found = memberOf(raw, name);
  return Array.isArray(found) ? found : [];
};
/** A value as a table shows it; `-` stands for nothing. */
export const toText = (raw: unknown): string => {
  if (raw === undefined || raw === null) return '-';
  return typeof raw === 'object'
    ? JSON.stringify(raw)
    : typeof raw === 'string'
      ? raw
      : typeof raw === 'number' || typeof raw === 'boolean'
        ? String(raw)
        : '-';
};

/** Several members of an object as a row of a table shows them. */
export const textsOf = (raw: unknown, names: readonly string[]): readonly string[] =>
  names.map((name) => toText(memberOf(raw, name)));

/** Rows under headings, each column as wide as it must be. */
export const formatTable = (
  heads: readonly string[],
  rows: readonly (readonly string[])[],
): string => formatColumns([heads, ...rows]);

const faultLines = (body: unknown): readonly string[] =>
  listMember(body, 'faults').map(
    (one) => `  ${toText(memberOf(one, 'path'))}: ${toText(memberOf(one, 'text'))}`,
  );

/** The body of an error as lines for people. */
export const errorText = (body: unknown): string =>
  [
    `${toText(memberOf(body, 'kind'))}: ${toText(memberOf(body, 'text'))}`,
    ...faultLines(body),
  ].join('\n');
