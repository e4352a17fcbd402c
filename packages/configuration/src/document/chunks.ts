/**
 * A configuration document as chunks: it is cut by content, so that a small change changes few of
 * them, and each chunk is named by its hash. Chunks are stored and sent; compiling them is not done
 * here. The cut and the hashes must not change: stores and nodes of all versions compute them alike.
 */

import { createHash } from 'node:crypto';
import { type Result, ok, err } from 'true-myth/result';
import { type Hash, toHash } from '@switchwheel/types';
import { type ValidationIssue, validationIssue } from './validation-issue.js';

/** The most characters of routes in one chunk, but for a single larger route. */
const maxChunkCharacters = 48 * 1024;
/** One route in so many ends a chunk, whatever its size: by its name, so that cuts stay where they are. */
const routesPerChunk = 128;
const routesPerSlice = 100;

/** The SHA-256 of a text, in hexadecimal. */
export const contentHash = (text: string): Hash =>
  toHash(createHash('sha256').update(text).digest('hex'));

/** A document in chunks: the header first, then lists of routes. */
export interface ChunkedConfiguration {
  /** The hash of the whole. */
  readonly hash: Hash;
  readonly chunks: ReadonlyMap<Hash, string>;
  /** The hashes of the chunks, in order. */
  readonly chunkHashes: readonly Hash[];
}

const isObject = (raw: unknown): raw is object =>
  typeof raw === 'object' && raw !== null && !Array.isArray(raw);
const isArray = (raw: unknown): raw is readonly unknown[] => Array.isArray(raw);

/** Sorts the keys of all objects, so that equal documents have equal hashes. */
const withSortedKeys = (raw: unknown): unknown => {
  if (isArray(raw)) return raw.map(withSortedKeys);
  if (!isObject(raw)) return raw;
  return Object.fromEntries(
    Object.entries(raw)
      .sort(([one], [two]) => (one < two ? -1 : 1))
      .map(([key, value]) => [key, withSortedKeys(value)]),
  );
};

/** The hash of a whole configuration, by those of its chunks. */
export const configurationHash = (chunkHashes: readonly Hash[]): Hash =>
  contentHash(chunkHashes.join('\n'));

const routeNameOf = (raw: unknown): string =>
  isObject(raw) && 'name' in raw && typeof raw.name === 'string' ? raw.name : '';

/** Whether a chunk ends after a route, by its name alone. */
const endsChunk = (route: unknown): boolean =>
  createHash('sha1').update(routeNameOf(route)).digest().readUInt16BE(0) % routesPerChunk === 0;

/** Cuts a parsed document into chunks; yields every few routes, to be spread over time. */
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
 * The text of the document that chunks make: the first is an object, each other a list of routes.
 * Nothing is parsed, so this takes little time however large the document is.
 */
export const joinChunks = (texts: readonly string[]): string => {
  const [head = '{}', ...lists] = texts.map((text) => text.trim());
  const members = head.slice(1, -1).trim();
  const routes = lists.map((list) => list.slice(1, -1).trim()).filter((list) => list !== '');
  return `{${members === '' ? '' : `${members},`}"routes":[${routes.join(',')}]}`;
};
