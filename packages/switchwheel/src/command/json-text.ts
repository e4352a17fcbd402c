/** Reads members of parsed JSON of unverified form, and formats them as text. */

import { formatColumns } from '@switchwheel/types';

/** Whether a value is an object or an array. */
export const isObject = (value: unknown): value is object =>
  typeof value === 'object' && value !== null;

/** Returns a member of an object; undefined if the value is no object or has no such member. */
export const memberOf = (value: unknown, name: string): unknown =>
  isObject(value) ? new Map<string, unknown>(Object.entries(value)).get(name) : undefined;
/** Returns a member that is an array; an empty array if it is absent or of another type. */
export const listMember = (value: unknown, name: string): readonly unknown[] => {
  const member = memberOf(value, name);
  return Array.isArray(member) ? member : [];
};
/** Formats a value for a cell of a table; `-` if there is none. */
export const toText = (value: unknown): string => {
  if (value === undefined || value === null) return '-';
  return typeof value === 'object'
    ? JSON.stringify(value)
    : typeof value === 'string'
      ? value
      : typeof value === 'number' || typeof value === 'boolean'
        ? String(value)
        : '-';
};

/** Formats several members of an object for the cells of a row. */
export const memberTexts = (value: unknown, names: readonly string[]): readonly string[] =>
  names.map((name) => toText(memberOf(value, name)));

/** Formats rows under column titles, with aligned columns. */
export const formatTable = (
  titles: readonly string[],
  rows: readonly (readonly string[])[],
): string => formatColumns([titles, ...rows]);

const faultLines = (body: unknown): readonly string[] =>
  listMember(body, 'faults').map(
    (fault) => `  ${toText(memberOf(fault, 'path'))}: ${toText(memberOf(fault, 'text'))}`,
  );

/** Formats the body of an error response: its kind and text, then one line for each fault. */
export const errorText = (body: unknown): string =>
  [
    `${toText(memberOf(body, 'kind'))}: ${toText(memberOf(body, 'text'))}`,
    ...faultLines(body),
  ].join('\n');
