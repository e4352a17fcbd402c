/**
 * Splits a configuration document into chunks. Boundaries depend on the content, so that a small
 * change affects few chunks, and each chunk is identified by its hash. Boundaries and hashes must
 * not change: stores and nodes of different versions must compute the same ones.
 */

import { createHash } from 'node:crypto';
import { type Result, ok, err } from 'true-myth/result';
import { type Hash, toHash } from '@switchwheel/types';
import { type ValidationIssue, validationIssue } from './validation-issue.js';

/** Number of characters after which a chunk ends. */
const maxChunkCharacters = 48 * 1024;
/** Average number of routes after which a chunk ends, by a hash of the route's name. */
const routesPerChunk = 128;
const routesPerSlice = 100;

/** SHA-256 of a text, in hexadecimal. */
export const contentHash = (text: string): Hash =>
  toHash(createHash('sha256').update(text).digest('hex'));

/** A document in chunks: the header first, then lists of routes. */
export interface ChunkedConfiguration {
  /** Hash of the whole configuration. */
  readonly hash: Hash;
  readonly chunks: ReadonlyMap<Hash, string>;
  /** Hashes of the chunks in document order. */
  readonly chunkHashes: readonly Hash[];
}

const isObject = (raw: unknown): raw is object =>
  typeof raw === 'object' && raw !== null && !Array.isArray(raw);
const isArray = (raw: unknown): raw is readonly unknown[] => Array.isArray(raw);

/** Sorts the keys of all objects at any depth, so that equal documents have equal hashes. */
const withSortedKeys = (raw: unknown): unknown => {
  if (isArray(raw)) return raw.map(withSortedKeys);
  if (!isObject(raw)) return raw;
  return Object.fromEntries(
    Object.entries(raw)
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([key, value]) => [key, withSortedKeys(value)]),
  );
};

/** Hash of a whole configuration, computed from the hashes of its chunks. */
export const configurationHash = (chunkHashes: readonly Hash[]): Hash =>
  contentHash(chunkHashes.join('\n'));

const routeNameOf = (raw: unknown): string =>
  isObject(raw) && 'name' in raw && typeof raw.name === 'string' ? raw.name : '';

/** Whether a chunk ends after a route; depends only on the route's name. */
const endsChunk = (route: unknown): boolean =>
  createHash('sha1').update(routeNameOf(route)).digest().readUInt16BE(0) % routesPerChunk === 0;

/** Splits a parsed document into chunks; yields every `routesPerSlice` routes so that callers can spread the work. */
export function* splitIntoChunks(
  raw: unknown,
): Generator<undefined, Result<ChunkedConfiguration, readonly ValidationIssue[]>> {
  if (!isObject(raw)) return err([validationIssue('(whole)', 'a description is a JSON object')]);
  const routes = 'routes' in raw ? raw.routes : undefined;
  if (!isArray(routes)) return err([validationIssue('routes', 'a list of routes')]);
  const chunks = new Map<Hash, string>();
  const chunkHashes: Hash[] = [];
  const addChunk = (text: string): void => {
    const hash = contentHash(text);
    chunks.set(hash, text);
    chunkHashes.push(hash);
  };
  const header = Object.fromEntries(Object.entries(raw).filter(([key]) => key !== 'routes'));
  addChunk(JSON.stringify(withSortedKeys(header)));
  let texts: string[] = [];
  let characters = 0;
  for (const [index, route] of routes.entries()) {
    const text = JSON.stringify(withSortedKeys(route));
    texts.push(text);
    characters += text.length;
    if (endsChunk(route) || characters > maxChunkCharacters) {
      addChunk(`[${texts.join(',')}]`);
      texts = [];
      characters = 0;
    }
    if ((index + 1) % routesPerSlice === 0) yield undefined;
  }
  if (texts.length > 0) addChunk(`[${texts.join(',')}]`);
  return ok({ hash: configurationHash(chunkHashes), chunks, chunkHashes });
}

/**
 * Joins chunks to the text of the document: the first chunk is an object, each other one a list of
 * routes. Does not parse them, so that large documents take little time.
 */
export const joinChunks = (texts: readonly string[]): string => {
  const [head = '{}', ...lists] = texts.map((text) => text.trim());
  const members = head.slice(1, -1).trim();
  const routes = lists.map((list) => list.slice(1, -1).trim()).filter((list) => list !== '');
  return `{${members === '' ? '' : `${members},`}"routes":[${routes.join(',')}]}`;
};
