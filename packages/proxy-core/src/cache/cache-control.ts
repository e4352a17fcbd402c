/**
 * What a response says about caching it (RFC 9111): the directives of Cache-Control, its freshness
 * lifetime, its age, its tags and what it varies by.
 */

import type { HeaderFields } from '@switchwheel/transport';
import { fieldValue } from './header-fields.js';

/** The status codes of responses that are cached. */
const cacheableStatuses: ReadonlySet<number> = new Set([200, 203, 300, 301, 404, 410]);

const unquote = (value: string): string => value.trim().replace(/^"|"$/g, '');

/** The directives of Cache-Control by their lower-case names; one without a value has an empty one. */
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
 * For how many milliseconds after its creation a response is fresh: the shorter one of the origin's
 * lifetime and the route's own. Undefined if it may not be cached.
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

/** How old a response was when it came from the origin (Age), in milliseconds. */
export const responseAgeMs = (fields: HeaderFields): number =>
  (parseDecimal(fieldValue(fields, 'age')) ?? 0) * 1000;

/** The tags that purges may name a response by. */
export const cacheTags = (fields: HeaderFields): readonly string[] =>
  (fieldValue(fields, 'cache-tag') ?? fieldValue(fields, 'surrogate-key') ?? '')
    .split(/[\s,]+/)
    .filter((tag) => tag !== '');

/** The lower-case names of the request fields that a response varies by. */
export const varyNames = (fields: HeaderFields): readonly string[] =>
  (fieldValue(fields, 'vary') ?? '')
    .split(',')
    .map((name) => name.trim().toLowerCase())
    .filter((name) => name !== '');
