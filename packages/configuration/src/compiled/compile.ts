import { type Result, ok, err } from 'true-myth/result';
import type { ClassName, Generation, Hash, RouteName, ServiceName } from '@switchwheel/types';
import { checkHeader, checkClassShares } from '../document/checks.js';
import {
  type ValidationIssue,
  validationIssue,
  parseCollecting,
} from '../document/validation-issue.js';
import {
  configurationHeader as headSchema,
  route as routeSchema,
  type ConfigurationHeader,
  type WeightedService,
  type Route,
} from '../document/schema.js';
import type {
  IndexedRoute,
  ChunkRoutes,
  CompiledConfiguration,
  CompiledRoute,
} from './compiled-configuration.js';

/** What a route may name. */
type DeclaredNames = Pick<CompiledConfiguration, 'services' | 'classes'>;

const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);
const routesPerSlice = 100;
const maxIssues = 200;

/** Routes by the ten thousand share few sets of methods: each is made once. */
const internMethods = (
  bench: CompilationState,
  methods: readonly string[],
): ReadonlySet<string> => {
  const key = methods.join(' ');
  const known = bench.methodSets.get(key);
  if (known !== undefined) return known;
  const fresh = new Set(methods);
  bench.methodSets.set(key, fresh);
  return fresh;
};

const weightedServicesOf = (one: Route): readonly WeightedService[] =>
  one.split ?? (one.service === undefined ? [] : [{ service: one.service, weight: 1 }]);

const compileRoute = (
  bench: CompilationState,
  one: Route,
  first: WeightedService,
  parts: readonly WeightedService[],
): CompiledRoute => ({
  name: one.name,
  service: first.service,
  weightedServices: parts,
  className: one.class,
  methods: internMethods(bench, one.methods),
  isIdempotent: one.repeatable ?? one.methods.every((name) => idempotentMethods.has(name)),
  timeoutMs: one.timeoutMs,
  latencyTargetMs: one.goalMs,
  maxOrigins: one.origins,
  priority: one.rank ?? 0,
  cache: one.cache,
});

/** Tracks being laid, by host and then by path or prefix; rows of an older table are copied before they change. */
interface RouteIndexBuilder {
  readonly routesByHost: Map<string, ReadonlyMap<string, readonly CompiledRoute[]>>;
  readonly copiedHosts: Map<string, Map<string, readonly CompiledRoute[]>>;
}

interface CompilationState {
  readonly issues: ValidationIssue[];
  readonly indexByName: Map<string, number>;
  readonly methodSets: Map<string, ReadonlySet<string>>;
  readonly routesByName: Map<RouteName, CompiledRoute>;
  readonly exactRoutes: RouteIndexBuilder;
  readonly prefixRoutes: RouteIndexBuilder;
}

const newCompilation = (before: CompiledConfiguration | undefined): CompilationState => ({
  issues: [],
  methodSets: new Map(),
  indexByName: new Map([...(before?.routesByName.keys() ?? [])].map((name) => [name, 0])),
  routesByName: new Map(before?.routesByName),
  exactRoutes: { routesByHost: new Map(before?.exactRoutes), copiedHosts: new Map() },
  prefixRoutes: { routesByHost: new Map(before?.prefixRoutes), copiedHosts: new Map() },
});

const writableRoutesOf = (
  rail: RouteIndexBuilder,
  host: string,
): Map<string, readonly CompiledRoute[]> => {
  const known = rail.copiedHosts.get(host);
  if (known !== undefined) return known;
  const copy = new Map(rail.routesByHost.get(host));
  rail.copiedHosts.set(host, copy);
  rail.routesByHost.set(host, copy);
  return copy;
};

/** Takes a track up again. */
const removeRoute = (bench: CompilationState, one: IndexedRoute): void => {
  const rail = one.isExact ? bench.exactRoutes : bench.prefixRoutes;
  const rows = writableRoutesOf(rail, one.host);
  const rest = (rows.get(one.path) ?? []).filter((other) => other !== one.route);
  if (rest.length > 0) rows.set(one.path, rest);
  else rows.delete(one.path);
  if (rows.size === 0) {
    rail.routesByHost.delete(one.host);
    rail.copiedHosts.delete(one.host);
  }
  bench.routesByName.delete(one.route.name);
  bench.indexByName.delete(one.route.name);
};

const addRoute = (bench: CompilationState, one: Route, at: string): IndexedRoute | undefined => {
  if ((one.path === undefined) === (one.prefix === undefined)) {
    bench.issues.push(validationIssue(at, 'a route has either a path or a prefix'));
    return undefined;
  }
  const key = one.path ?? one.prefix ?? '';
  const host = one.host ?? '';
  const rows = writableRoutesOf(
    one.path === undefined ? bench.prefixRoutes : bench.exactRoutes,
    host,
  );
  const row = rows.get(key) ?? [];
  const parts = weightedServicesOf(one);
  const first = parts.find((part) => part.weight > 0) ?? parts[0];
  if (first === undefined || (one.service !== undefined && one.split !== undefined)) {
    bench.issues.push(validationIssue(at, 'a route has either a service or a split'));
    return undefined;
  }
  const track = compileRoute(bench, one, first, parts);
  for (const other of row) {
    const shared = [...track.methods].filter((name) => other.methods.has(name));
    if (shared.length > 0)
      bench.issues.push(
        validationIssue(
          at,
          `the route ${one.name} clashes with ${other.name}: both match ${shared.join(', ')} ${host}${key}`,
        ),
      );
  }
  rows.set(key, [...row, track]);
  bench.routesByName.set(track.name, track);
  return { route: track, host, path: key, isExact: one.path !== undefined };
};

const checkAndAddRoute = (
  bench: CompilationState,
  known: DeclaredNames | undefined,
  one: Route,
  index: number,
): IndexedRoute | undefined => {
  const at = `routes.${index}`;
  const first = bench.indexByName.get(one.name);
  if (first === undefined) bench.indexByName.set(one.name, index);
  else
    bench.issues.push(
      validationIssue(`${at}.name`, `the name ${one.name} is also that of routes.${first}`),
    );
  if (known !== undefined) {
    for (const { service } of weightedServicesOf(one))
      if (!known.services.has(service))
        bench.issues.push(validationIssue(`${at}.service`, `no service is named ${service}`));
    if (!known.classes.has(one.class))
      bench.issues.push(validationIssue(`${at}.class`, `no class is named ${one.class}`));
  }
  if (one.cache !== undefined && one.methods.some((name) => name !== 'GET' && name !== 'HEAD')) {
    bench.issues.push(validationIssue(`${at}.cache`, 'only GET and HEAD results are kept'));
  }
  if (one.repeatable === true && one.methods.some((name) => name === 'PATCH')) {
    bench.issues.push(
      validationIssue(`${at}.repeatable`, 'a route with PATCH is never repeatable'),
    );
  }
  return addRoute(bench, one, at);
};

const isArray = (raw: unknown): raw is readonly unknown[] => Array.isArray(raw);

/** Lays the routes of one piece. */
function* compileChunk(
  bench: CompilationState,
  known: DeclaredNames | undefined,
  text: string,
  from: number,
): Generator<undefined, { readonly portion: ChunkRoutes; readonly count: number }> {
  const list: unknown = JSON.parse(text);
  const portion: IndexedRoute[] = [];
  let count = 0;
  for (const one of isArray(list) ? list : []) {
    const index = from + count;
    const read = parseCollecting(routeSchema, one, `routes.${index}`, bench.issues);
    const laid = read === undefined ? undefined : checkAndAddRoute(bench, known, read, index);
    if (laid !== undefined) portion.push(laid);
    count += 1;
    if (bench.issues.length > maxIssues) break;
    if (index % routesPerSlice === 0) yield undefined;
  }
  return { portion, count };
}

/** Which classes meet at which service. */
const classNamesByService = (
  portions: ReadonlyMap<string, ChunkRoutes>,
): ReadonlyMap<ServiceName, ReadonlySet<ClassName>> => {
  const used = new Map<ServiceName, Set<ClassName>>();
  for (const portion of portions.values()) {
    for (const { route } of portion)
      for (const { service } of route.weightedServices)
        used.set(service, (used.get(service) ?? new Set<ClassName>()).add(route.className));
  }
  return used;
};

const toCompiledConfiguration = (
  bench: CompilationState,
  head: ConfigurationHeader,
  headText: string,
  { services, classes }: DeclaredNames,
  portions: ReadonlyMap<string, ChunkRoutes>,
  generation: Generation,
  hash: Hash,
): CompiledConfiguration => {
  const used = classNamesByService(portions);
  checkClassShares(used, classes, bench.issues);
  const meeting = new Map(
    [...used].map(([service, names]) => [
      service,
      new Map(head.classes.filter((one) => names.has(one.name)).map((one) => [one.name, one])),
    ]),
  );
  return {
    generation,
    hash,
    header: head,
    headerText: headText,
    routesByChunk: portions,
    classes,
    services,
    classesByService: meeting,
    routesByName: bench.routesByName,
    exactRoutes: bench.exactRoutes.routesByHost,
    prefixRoutes: bench.prefixRoutes.routesByHost,
    routeCount: bench.routesByName.size,
    rolloutPolicy: head.rollout,
  };
};

/** Makes a table out of one that differs from it in a few pieces; nothing if that can't be done, or if there are faults to tell in full. */
export function* patchConfiguration(
  before: CompiledConfiguration,
  texts: readonly string[],
  generation: Generation,
  hash: Hash,
): Generator<undefined, CompiledConfiguration | undefined> {
  const [headText, ...rest] = texts;
  const next = new Set(rest);
  if (headText !== before.headerText || next.size !== rest.length) return undefined;
  const fresh = rest.filter((text) => !before.routesByChunk.has(text));
  if (fresh.length > rest.length / 4) return undefined;
  const bench = newCompilation(before);
  for (const [text, portion] of before.routesByChunk)
    if (!next.has(text)) for (const one of portion) removeRoute(bench, one);
  yield undefined;
  const portions = new Map([...before.routesByChunk].filter(([text]) => next.has(text)));
  for (const text of fresh)
    portions.set(text, (yield* compileChunk(bench, before, text, 0)).portion);
  const table = toCompiledConfiguration(
    bench,
    before.header,
    headText,
    before,
    portions,
    generation,
    hash,
  );
  return bench.issues.length > 0 ? undefined : table;
}

/** Checks and compiles a description in small slices; it is whole in the end, or every fault is told. */
export function* compileConfiguration(
  texts: readonly string[],
  generation: Generation,
  hash: Hash,
): Generator<undefined, Result<CompiledConfiguration, readonly ValidationIssue[]>> {
  const [headText = '', ...rest] = texts;
  const bench = newCompilation(undefined);
  const head = parseCollecting(headSchema, JSON.parse(headText), '', bench.issues);
  if (head !== undefined) checkHeader(head, bench.issues);
  const known =
    head === undefined
      ? undefined
      : {
          services: new Map(head.services.map((one) => [one.name, one])),
          classes: new Map(head.classes.map((one) => [one.name, one])),
        };
  const portions = new Map<string, ChunkRoutes>();
  let index = 0;
  for (const text of rest) {
    const laid = yield* compileChunk(bench, known, text, index);
    portions.set(text, laid.portion);
    index += laid.count;
    if (bench.issues.length > maxIssues) break;
  }
  if (head === undefined || known === undefined) return err(bench.issues);
  const table = toCompiledConfiguration(bench, head, headText, known, portions, generation, hash);
  return bench.issues.length > 0 ? err(bench.issues) : ok(table);
}

/** Runs a sliced piece of work to its end in one go. */
export const runToCompletion = <T>(work: Generator<undefined, T>): T => {
  for (;;) {
    const next = work.next();
    if (next.done === true) return next.value;
  }
};
