/** Reads properties of parsed JSON of unverified form, and formats them as text. */

import { formatColumns } from '@switchwheel/types';

/** Whether a value is an object or an array. */
export const isObject = (value: unknown): value is object =>
  typeof value === 'object' && value !== null;

/** Returns a property of an object; undefined if the value is no object or has no such property. */
export const propertyOf = (value: unknown, name: string): unknown =>
  isObject(value) ? new Map<string, unknown>(Object.entries(value)).get(name) : undefined;
/** Returns a property that is an array; an empty array if it is absent or of another type. */
export const listProperty = (value: unknown, name: string): readonly unknown[] => {
  const property = propertyOf(value, name);
  return Array.isArray(property) ? property : [];
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

/** Formats several properties of an object for the cells of a row. */
export const propertyTexts = (value: unknown, names: readonly string[]): readonly string[] =>
  names.map((name) => toText(propertyOf(value, name)));

/** Formats rows under column titles, with aligned columns. */
export const formatTable = (
  titles: readonly string[],
  rows: readonly (readonly string[])[],
): string => formatColumns([titles, ...rows]);

const faultLines = (body: unknown): readonly string[] =>
  listProperty(body, 'faults').map(
    (fault) => `  ${toText(propertyOf(fault, 'path'))}: ${toText(propertyOf(fault, 'text'))}`,
  );

/** Formats the body of an error response: its kind and text, then one line for each fault. */
export const errorText = (body: unknown): string =>
  [
    `${toText(propertyOf(body, 'kind'))}: ${toText(propertyOf(body, 'text'))}`,
    ...faultLines(body),
  ].join('\n');
