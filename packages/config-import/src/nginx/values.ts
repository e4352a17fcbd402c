/** Conversion of values in nginx directives: durations, names, methods and paths of locations. */

import type { Directive } from './parse.js';

/** Milliseconds of each unit of nginx; a number without a unit is in seconds. */
const msByUnit: ReadonlyMap<string, number> = new Map([
  ['', 1000],
  ['ms', 1],
  ['s', 1000],
  ['m', 60_000],
  ['h', 3_600_000],
  ['d', 86_400_000],
]);

/** Parses an nginx duration; undefined if it is absent or malformed. */
export const durationMsOf = (duration: string | undefined): number | undefined => {
  const match = /^(\d+)(ms|s|m|h|d)?$/.exec(duration ?? '');
  return match === null ? undefined : Number(match[1]) * (msByUnit.get(match[2] ?? '') ?? 1000);
};

const maxIdentifierCharacters = 60;
/** Returns a name that the configuration accepts, with invalid characters replaced or removed. */
export const identifierOf = (name: string): string =>
  name
    .replace(/[^A-Za-z0-9._-]+/g, '-')
    .replace(/^[^A-Za-z0-9]+/, '')
    .slice(0, maxIdentifierCharacters) || 'unnamed';

const readMethods = ['GET', 'HEAD'] as const;
const writeMethods = ['POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'] as const;
/** Whether responses to a method can be cached. */
export const isReadMethod = (method: string): boolean => method === 'GET' || method === 'HEAD';

/** Condition of a route on the path of a request. */
export type RouteMatch = { readonly path: string } | { readonly prefix: string };

/**
 * Converts the path of a location to matches of routes. The prefix of a route ends at a segment boundary, so a path without
 * a trailing slash needs two.
 */
export const matchesOf = (modifier: string | undefined, path: string): readonly RouteMatch[] => {
  if (modifier === '=') return [{ path }];
  return path.endsWith('/') ? [{ prefix: path }] : [{ path }, { prefix: `${path}/` }];
};

/** Methods that `limit_except` allows; all methods without it. */
export const methodsOf = (block: readonly Directive[]): readonly string[] => {
  const limit = block.find(({ name }) => name === 'limit_except');
  if (limit === undefined) return [...readMethods, ...writeMethods];
  return [...new Set(limit.args.flatMap((name) => (name === 'GET' ? [...readMethods] : [name])))];
};
