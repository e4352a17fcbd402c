/** Converts the values of single nginx directives: durations, names, methods and the paths of locations. */

import type { Directive } from './parse.js';

/** Milliseconds by nginx's unit; a number without one is in seconds. */
const units: ReadonlyMap<string, number> = new Map([
  ['', 1000],
  ['ms', 1],
  ['s', 1000],
  ['m', 60_000],
  ['h', 3_600_000],
  ['d', 86_400_000],
]);

/** Milliseconds of an nginx duration; undefined if it is none. */
export const durationMsOf = (raw: string | undefined): number | undefined => {
  const match = /^(\d+)(ms|s|m|h|d)?$/.exec(raw ?? '');
  return match === null ? undefined : Number(match[1]) * (units.get(match[2] ?? '') ?? 1000);
};

const maxIdentifierLength = 60;
/** A name that the configuration accepts, as near to the given one as can be. */
export const identifierOf = (raw: string): string =>
  raw
    .replace(/[^A-Za-z0-9._-]+/g, '-')
    .replace(/^[^A-Za-z0-9]+/, '')
    .slice(0, maxIdentifierLength) || 'unnamed';

const readMethods = ['GET', 'HEAD'] as const;
const writeMethods = ['POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;
/** Whether results of a method can be cached. */
export const isReadMethod = (method: string): boolean => method === 'GET' || method === 'HEAD';

/** How a location picks requests: by path or by prefix. */
export type RouteMatch = { readonly path: string } | { readonly prefix: string };

/** nginx takes a prefix by its characters; here a prefix is whole path segments, so the path itself is a match of its own. */
export const matchesOf = (modifier: string | undefined, path: string): readonly RouteMatch[] => {
  if (modifier === '=') return [{ path }];
  return path.endsWith('/') ? [{ prefix: path }] : [{ path }, { prefix: `${path}/` }];
};

/** The methods that `limit_except` leaves, or all. */
export const methodsOf = (block: readonly Directive[]): readonly string[] => {
  const limit = block.find(({ name }) => name === 'limit_except');
  if (limit === undefined) return [...readMethods, ...writeMethods];
  return [...new Set(limit.args.flatMap((name) => (name === 'GET' ? [...readMethods] : [name])))];
};
