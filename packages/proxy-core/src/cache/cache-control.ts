/**
 * Caching metadata of responses (RFC 9111): the directives of Cache-Control, freshness lifetime,
 * age, tags and Vary.
 */

import type { HeaderFields } from '@switchwheel/transport';
import { fieldValue } from './header-fields.js';

/** Status codes of cacheable responses. */
const cacheableStatuses: ReadonlySet<number> = new Set([200, 203, 300, 301, 404, 410]);

const unquote = (value: string): string => value.trim().replace(/^"|"$/g, '');

/**
 * Returns the directives of Cache-Control by lower-case name; one without a value maps to an empty
 * string.
 */
export const cacheControl = (fields: HeaderFields): ReadonlyMap<string, string> => {
  const directives = new Map<string, string>();
  for (const part of (fieldValue(fields, 'cache-control') ?? '').split(',')) {
    const separator = part.indexOf('=');
    const name = (separator < 0 ? part : part.slice(0, separator)).trim().toLowerCase();
    if (name === '') continue;
    directives.set(name, separator < 0 ? '' : unquote(part.slice(separator + 1)));
  }
  return directives;
};

const parseDecimal = (text: string | undefined): number | undefined =>
  text !== undefined && /^\d+$/.test(text) ? Number(text) : undefined;

const isNeverCached = (fields: HeaderFields, directives: ReadonlyMap<string, string>): boolean =>
  directives.has('no-store') ||
  directives.has('private') ||
  directives.has('no-cache') ||
  fieldValue(fields, 'set-cookie') !== undefined ||
  fieldValue(fields, 'vary')?.includes('*') === true;

/**
 * Returns the freshness lifetime of a response in milliseconds from its creation: the shorter of
 * the origin's lifetime and the route's. Undefined if the response may not be cached.
 */
export const freshnessLifetimeMs = (
  status: number,
  fields: HeaderFields,
  isAuthorized: boolean,
  routeLifetimeMs: number | undefined,
): number | undefined => {
  const directives = cacheControl(fields);
  if (!cacheableStatuses.has(status) || isNeverCached(fields, directives)) return undefined;
  if (isAuthorized && !directives.has('public') && !directives.has('s-maxage')) return undefined;
  const seconds =
    parseDecimal(directives.get('s-maxage')) ?? parseDecimal(directives.get('max-age'));
  const lifetimes = [seconds === undefined ? undefined : seconds * 1000, routeLifetimeMs].filter(
    (lifetime) => lifetime !== undefined,
  );
  return lifetimes.length === 0 ? undefined : Math.min(...lifetimes);
};

/** Returns the value of the Age field in milliseconds; 0 if it is absent or invalid. */
export const responseAgeMs = (fields: HeaderFields): number =>
  (parseDecimal(fieldValue(fields, 'age')) ?? 0) * 1000;

/** Returns the cache tags of a response, by which purges may select it. */
export const cacheTags = (fields: HeaderFields): readonly string[] =>
  (fieldValue(fields, 'cache-tag') ?? fieldValue(fields, 'surrogate-key') ?? '')
    .split(/[\s,]+/)
    .filter((tag) => tag !== '');

/** Returns the lower-case names of the request fields listed in Vary. */
export const varyNames = (fields: HeaderFields): readonly string[] =>
  (fieldValue(fields, 'vary') ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase())
    .filter((name) => name !== '');
