import { createHash } from 'node:crypto';
import { type Result, ok, err } from 'true-myth/result';
import { type Generation, type Hash, toHash } from '@switchwheel/types';
import { compile, patch } from './compile.js';
import { type Fault, fault } from './fault.js';
import type { Table } from './table.js';

/** The most bytes of routes that one piece bears, but for a single larger route. */
const pieceSize = 48 * 1024;

export const hashOf = (text: string): Hash =>
  toHash(createHash('sha256').update(text).digest('hex'));

/** A description cut into pieces by content, so that a small change changes few of them. */
export interface Bundle {
  readonly hash: Hash;
  readonly pieces: ReadonlyMap<Hash, string>;
  readonly order: readonly Hash[];
}

const isObject = (raw: unknown): raw is object =>
  typeof raw === 'object' && raw !== null && !Array.isArray(raw);
const isList = (raw: unknown): raw is readonly unknown[] => Array.isArray(raw);

/** Sets members in one order, so that equal descriptions have equal hashes. */
const sorted = (raw: unknown): unknown => {
  if (isList(raw)) return raw.map(sorted);
  if (!isObject(raw)) return raw;
  return Object.fromEntries(
    Object.entries(raw)
      .sort(([one], [two]) => (one < two ? -1 : 1))
      .map(([key, value]) => [key, sorted(value)]),
  );
};

export const bundleHash = (order: readonly Hash[]): Hash => hashOf(order.join('\n'));

const nameOf = (raw: unknown): string =>
  isObject(raw) && 'name' in raw && typeof raw.name === 'string' ? raw.name : '';

/** Cuts a parsed description into pieces, in slices. */
export function* cut(raw: unknown): Generator<undefined, Result<Bundle, readonly Fault[]>> {
  if (!isObject(raw)) return err([fault('(whole)', 'a description is a JSON object')]);
  const routes = 'routes' in raw ? raw.routes : undefined;
  if (!isList(routes)) return err([fault('routes', 'a list of routes')]);
  const head = Object.fromEntries(Object.entries(raw).filter(([key]) => key !== 'routes'));
  const pieces = new Map<Hash, string>();
  const order: Hash[] = [];
  const close = (text: string): void => {
    const hash = hashOf(text);
    pieces.set(hash, text);
    order.push(hash);
  };
  close(JSON.stringify(sorted(head)));
  let rows: string[] = [];
  let size = 0;
  let count = 0;
  for (const one of routes) {
    const text = JSON.stringify(sorted(one));
    rows.push(text);
    size += text.length;
    count += 1;
    const edge = createHash('sha1').update(nameOf(one)).digest().readUInt16BE(0) % 128 === 0;
    if (edge || size > pieceSize) {
      close(`[${rows.join(',')}]`);
      rows = [];
      size = 0;
    }
    if (count % 100 === 0) yield undefined;
  }
  if (rows.length > 0) close(`[${rows.join(',')}]`);
  return ok({ hash: bundleHash(order), pieces, order });
}

/** Puts pieces together again and compiles them, on top of the table before if they share most of it. */
export function* build(
  texts: readonly string[],
  generation: Generation,
  hash: Hash,
  before?: Table,
): Generator<undefined, Result<Table, readonly Fault[]>> {
  if (texts.length === 0) return err([fault('(whole)', 'no pieces')]);
  try {
    const patched =
      before === undefined ? undefined : yield* patch(before, texts, generation, hash);
    return patched === undefined ? yield* compile(texts, generation, hash) : ok(patched);
  } catch (problem) {
    return err([
      fault('(whole)', `not JSON: ${problem instanceof Error ? problem.message : 'unreadable'}`),
    ]);
  }
}

/**
 * The text of the description that pieces make: the first is an object, each other a list of
 * routes. Nothing is parsed, so this takes little time however large the description is.
 */
export const wholeText = (texts: readonly string[]): string => {
  const [head = '{}', ...lists] = texts.map((one) => one.trim());
  const members = head.slice(1, -1).trim();
  const routes = lists.map((one) => one.slice(1, -1).trim()).filter((one) => one !== '');
  return `{${members === '' ? '' : `${members},`}"routes":[${routes.join(',')}]}`;
};
