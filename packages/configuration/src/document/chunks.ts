import { createHash } from 'node:crypto';
import { type Result, ok, err } from 'true-myth/result';
import { type Generation, type Hash, toHash } from '@switchwheel/types';
import { compileConfiguration, patchConfiguration } from '../compiled/compile.js';
import { type ValidationIssue, validationIssue } from './validation-issue.js';
import type { CompiledConfiguration } from '../compiled/compiled-configuration.js';

/** The most bytes of routes that one piece bears, but for a single larger route. */
const maxChunkCharacters = 48 * 1024;

export const contentHash = (text: string): Hash =>
  toHash(createHash('sha256').update(text).digest('hex'));

/** A description cut into pieces by content, so that a small change changes few of them. */
export interface ChunkedConfiguration {
  readonly hash: Hash;
  readonly chunks: ReadonlyMap<Hash, string>;
  readonly chunkHashes: readonly Hash[];
}

const isObject = (raw: unknown): raw is object =>
  typeof raw === 'object' && raw !== null && !Array.isArray(raw);
const isArray = (raw: unknown): raw is readonly unknown[] => Array.isArray(raw);

/** Sets members in one order, so that equal descriptions have equal hashes. */
const withSortedKeys = (raw: unknown): unknown => {
  if (isArray(raw)) return raw.map(withSortedKeys);
  if (!isObject(raw)) return raw;
  return Object.fromEntries(
    Object.entries(raw)
      .sort(([one], [two]) => (one < two ? -1 : 1))
      .map(([key, value]) => [key, withSortedKeys(value)]),
  );
};

export const configurationHash = (order: readonly Hash[]): Hash => contentHash(order.join('\n'));

const routeNameOf = (raw: unknown): string =>
  isObject(raw) && 'name' in raw && typeof raw.name === 'string' ? raw.name : '';

/** Cuts a parsed description into pieces, in slices. */
export function* splitIntoChunks(
  raw: unknown,
): Generator<undefined, Result<ChunkedConfiguration, readonly ValidationIssue[]>> {
  if (!isObject(raw)) return err([validationIssue('(whole)', 'a description is a JSON object')]);
  const routes = 'routes' in raw ? raw.routes : undefined;
  if (!isArray(routes)) return err([validationIssue('routes', 'a list of routes')]);
  const head = Object.fromEntries(Object.entries(raw).filter(([key]) => key !== 'routes'));
  const pieces = new Map<Hash, string>();
  const order: Hash[] = [];
  const close = (text: string): void => {
    const hash = contentHash(text);
    pieces.set(hash, text);
    order.push(hash);
  };
  close(JSON.stringify(withSortedKeys(head)));
  let rows: string[] = [];
  let size = 0;
  let count = 0;
  for (const one of routes) {
    const text = JSON.stringify(withSortedKeys(one));
    rows.push(text);
    size += text.length;
    count += 1;
    const edge = createHash('sha1').update(routeNameOf(one)).digest().readUInt16BE(0) % 128 === 0;
    if (edge || size > maxChunkCharacters) {
      close(`[${rows.join(',')}]`);
      rows = [];
      size = 0;
    }
    if (count % 100 === 0) yield undefined;
  }
  if (rows.length > 0) close(`[${rows.join(',')}]`);
  return ok({ hash: configurationHash(order), chunks: pieces, chunkHashes: order });
}

/** Puts pieces together again and compiles them, on top of the table before if they share most of it. */
export function* buildConfiguration(
  texts: readonly string[],
  generation: Generation,
  hash: Hash,
  before?: CompiledConfiguration,
): Generator<undefined, Result<CompiledConfiguration, readonly ValidationIssue[]>> {
  if (texts.length === 0) return err([validationIssue('(whole)', 'no pieces')]);
  try {
    const patched =
      before === undefined ? undefined : yield* patchConfiguration(before, texts, generation, hash);
    return patched === undefined
      ? yield* compileConfiguration(texts, generation, hash)
      : ok(patched);
  } catch (problem) {
    return err([
      validationIssue(
        '(whole)',
        `not JSON: ${problem instanceof Error ? problem.message : 'unreadable'}`,
      ),
    ]);
  }
}

/**
 * The text of the description that pieces make: the first is an object, each other a list of
 * routes. Nothing is parsed, so this takes little time however large the description is.
 */
export const joinChunks = (texts: readonly string[]): string => {
  const [head = '{}', ...lists] = texts.map((one) => one.trim());
  const members = head.slice(1, -1).trim();
  const routes = lists.map((one) => one.slice(1, -1).trim()).filter((one) => one !== '');
  return `{${members === '' ? '' : `${members},`}"routes":[${routes.join(',')}]}`;
};
