import { type Result, ok, err } from 'true-myth/result';
import type { ClassName, Generation, Hash, RouteName, ServiceName } from '@switchwheel/types';
import { checkHead, checkShares } from './check.js';
import { type Fault, fault, readInto } from './fault.js';
import {
  head as headSchema,
  route as routeSchema,
  type Head,
  type Part,
  type Route,
} from './schema.js';
import type { Laid, Portion, Table, Track } from './table.js';

/** What a route may name. */
type Known = Pick<Table, 'services' | 'groups'>;

const safe: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);
const slice = 100;
const maxFaults = 200;

/** Routes by the ten thousand share few sets of methods: each is made once. */
const shared = (bench: Bench, methods: readonly string[]): ReadonlySet<string> => {
  const key = methods.join(' ');
  const known = bench.methods.get(key);
  if (known !== undefined) return known;
  const fresh = new Set(methods);
  bench.methods.set(key, fresh);
  return fresh;
};

const partsOf = (one: Route): readonly Part[] =>
  one.split ?? (one.service === undefined ? [] : [{ service: one.service, weight: 1 }]);

const toTrack = (bench: Bench, one: Route, first: Part, parts: readonly Part[]): Track => ({
  name: one.name,
  service: first.service,
  parts,
  group: one.class,
  methods: shared(bench, one.methods),
  repeatable: one.repeatable ?? one.methods.every((name) => safe.has(name)),
  timeoutMs: one.timeoutMs,
  goalMs: one.goalMs,
  origins: one.origins,
  rank: one.rank ?? 0,
  cache: one.cache,
});

/** Tracks being laid, by host and then by path or prefix; rows of an older table are copied before they change. */
interface Rail {
  readonly rows: Map<string, ReadonlyMap<string, readonly Track[]>>;
  readonly own: Map<string, Map<string, readonly Track[]>>;
}

interface Bench {
  readonly faults: Fault[];
  readonly names: Map<string, number>;
  readonly methods: Map<string, ReadonlySet<string>>;
  readonly tracks: Map<RouteName, Track>;
  readonly exact: Rail;
  readonly prefix: Rail;
}

const newBench = (before: Table | undefined): Bench => ({
  faults: [],
  methods: new Map(),
  names: new Map([...(before?.tracks.keys() ?? [])].map((name) => [name, 0])),
  tracks: new Map(before?.tracks),
  exact: { rows: new Map(before?.exact), own: new Map() },
  prefix: { rows: new Map(before?.prefix), own: new Map() },
});

const ownRows = (rail: Rail, host: string): Map<string, readonly Track[]> => {
  const known = rail.own.get(host);
  if (known !== undefined) return known;
  const copy = new Map(rail.rows.get(host));
  rail.own.set(host, copy);
  rail.rows.set(host, copy);
  return copy;
};

/** Takes a track up again. */
const lift = (bench: Bench, one: Laid): void => {
  const rail = one.exact ? bench.exact : bench.prefix;
  const rows = ownRows(rail, one.host);
  const rest = (rows.get(one.key) ?? []).filter((other) => other !== one.track);
  if (rest.length > 0) rows.set(one.key, rest);
  else rows.delete(one.key);
  if (rows.size === 0) {
    rail.rows.delete(one.host);
    rail.own.delete(one.host);
  }
  bench.tracks.delete(one.track.name);
  bench.names.delete(one.track.name);
};

const lay = (bench: Bench, one: Route, at: string): Laid | undefined => {
  if ((one.path === undefined) === (one.prefix === undefined)) {
    bench.faults.push(fault(at, 'a route has either a path or a prefix'));
    return undefined;
  }
  const key = one.path ?? one.prefix ?? '';
  const host = one.host ?? '';
  const rows = ownRows(one.path === undefined ? bench.prefix : bench.exact, host);
  const row = rows.get(key) ?? [];
  const parts = partsOf(one);
  const first = parts.find((part) => part.weight > 0) ?? parts[0];
  if (first === undefined || (one.service !== undefined && one.split !== undefined)) {
    bench.faults.push(fault(at, 'a route has either a service or a split'));
    return undefined;
  }
  const track = toTrack(bench, one, first, parts);
  for (const other of row) {
    const shared = [...track.methods].filter((name) => other.methods.has(name));
    if (shared.length > 0)
      bench.faults.push(
        fault(
          at,
          `the route ${one.name} clashes with ${other.name}: both match ${shared.join(', ')} ${host}${key}`,
        ),
      );
  }
  rows.set(key, [...row, track]);
  bench.tracks.set(track.name, track);
  return { track, host, key, exact: one.path !== undefined };
};

const checkRoute = (
  bench: Bench,
  known: Known | undefined,
  one: Route,
  index: number,
): Laid | undefined => {
  const at = `routes.${index}`;
  const first = bench.names.get(one.name);
  if (first === undefined) bench.names.set(one.name, index);
  else
    bench.faults.push(fault(`${at}.name`, `the name ${one.name} is also that of routes.${first}`));
  if (known !== undefined) {
    for (const { service } of partsOf(one))
      if (!known.services.has(service))
        bench.faults.push(fault(`${at}.service`, `no service is named ${service}`));
    if (!known.groups.has(one.class))
      bench.faults.push(fault(`${at}.class`, `no class is named ${one.class}`));
  }
  if (one.cache !== undefined && one.methods.some((name) => name !== 'GET' && name !== 'HEAD')) {
    bench.faults.push(fault(`${at}.cache`, 'only GET and HEAD results are kept'));
  }
  if (one.repeatable === true && one.methods.some((name) => name === 'PATCH')) {
    bench.faults.push(fault(`${at}.repeatable`, 'a route with PATCH is never repeatable'));
  }
  return lay(bench, one, at);
};

const isList = (raw: unknown): raw is readonly unknown[] => Array.isArray(raw);

/** Lays the routes of one piece. */
function* layPiece(
  bench: Bench,
  known: Known | undefined,
  text: string,
  from: number,
): Generator<undefined, { readonly portion: Portion; readonly count: number }> {
  const list: unknown = JSON.parse(text);
  const portion: Laid[] = [];
  let count = 0;
  for (const one of isList(list) ? list : []) {
    const index = from + count;
    const read = readInto(routeSchema, one, `routes.${index}`, bench.faults);
    const laid = read === undefined ? undefined : checkRoute(bench, known, read, index);
    if (laid !== undefined) portion.push(laid);
    count += 1;
    if (bench.faults.length > maxFaults) break;
    if (index % slice === 0) yield undefined;
  }
  return { portion, count };
}

/** Which classes meet at which service. */
const meetingOf = (
  portions: ReadonlyMap<string, Portion>,
): ReadonlyMap<ServiceName, ReadonlySet<ClassName>> => {
  const used = new Map<ServiceName, Set<ClassName>>();
  for (const portion of portions.values()) {
    for (const { track } of portion)
      for (const { service } of track.parts)
        used.set(service, (used.get(service) ?? new Set<ClassName>()).add(track.group));
  }
  return used;
};

const toTable = (
  bench: Bench,
  head: Head,
  headText: string,
  { services, groups }: Known,
  portions: ReadonlyMap<string, Portion>,
  generation: Generation,
  hash: Hash,
): Table => {
  const used = meetingOf(portions);
  checkShares(used, groups, bench.faults);
  const meeting = new Map(
    [...used].map(([service, names]) => [
      service,
      new Map(head.classes.filter((one) => names.has(one.name)).map((one) => [one.name, one])),
    ]),
  );
  return {
    generation,
    hash,
    head,
    headText,
    portions,
    groups,
    services,
    meeting,
    tracks: bench.tracks,
    exact: bench.exact.rows,
    prefix: bench.prefix.rows,
    routes: bench.tracks.size,
    policy: head.rollout,
  };
};

/** Makes a table out of one that differs from it in a few pieces; nothing if that can't be done, or if there are faults to tell in full. */
export function* patch(
  before: Table,
  texts: readonly string[],
  generation: Generation,
  hash: Hash,
): Generator<undefined, Table | undefined> {
  const [headText, ...rest] = texts;
  const next = new Set(rest);
  if (headText !== before.headText || next.size !== rest.length) return undefined;
  const fresh = rest.filter((text) => !before.portions.has(text));
  if (fresh.length > rest.length / 4) return undefined;
  const bench = newBench(before);
  for (const [text, portion] of before.portions)
    if (!next.has(text)) for (const one of portion) lift(bench, one);
  yield undefined;
  const portions = new Map([...before.portions].filter(([text]) => next.has(text)));
  for (const text of fresh) portions.set(text, (yield* layPiece(bench, before, text, 0)).portion);
  const table = toTable(bench, before.head, headText, before, portions, generation, hash);
  return bench.faults.length > 0 ? undefined : table;
}

/** Checks and compiles a description in small slices; it is whole in the end, or every fault is told. */
export function* compile(
  texts: readonly string[],
  generation: Generation,
  hash: Hash,
): Generator<undefined, Result<Table, readonly Fault[]>> {
  const [headText = '', ...rest] = texts;
  const bench = newBench(undefined);
  const head = readInto(headSchema, JSON.parse(headText), '', bench.faults);
  if (head !== undefined) checkHead(head, bench.faults);
  const known =
    head === undefined
      ? undefined
      : {
          services: new Map(head.services.map((one) => [one.name, one])),
          groups: new Map(head.classes.map((one) => [one.name, one])),
        };
  const portions = new Map<string, Portion>();
  let index = 0;
  for (const text of rest) {
    const laid = yield* layPiece(bench, known, text, index);
    portions.set(text, laid.portion);
    index += laid.count;
    if (bench.faults.length > maxFaults) break;
  }
  if (head === undefined || known === undefined) return err(bench.faults);
  const table = toTable(bench, head, headText, known, portions, generation, hash);
  return bench.faults.length > 0 ? err(bench.faults) : ok(table);
}

/** Runs a sliced piece of work to its end in one go. */
export const finish = <T>(work: Generator<undefined, T>): T => {
  for (;;) {
    const next = work.next();
    if (next.done === true) return next.value;
  }
};
