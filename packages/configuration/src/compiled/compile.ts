/**
 * Compiler of configurations: validates the chunks of a document and indexes its routes. It is a
 * generator that yields every `routesPerSlice` routes, so that callers can spread the work.
 */

import { type Result, err, ok } from 'true-myth/result';
import type { ServiceClassName, Generation, Hash, ServiceName } from '@switchwheel/types';
import { checkClassShares, checkHeader } from '../document/checks.js';
import {
  type ConfigurationHeader,
  configurationHeader,
  route as routeSchema,
} from '../document/schema.js';
import {
  type ValidationIssue,
  parseCollecting,
  validationIssue,
} from '../document/validation-issue.js';
import type { ChunkRoutes, CompiledConfiguration, IndexedRoute } from './compiled-configuration.js';
import {
  type CompilationState,
  type DeclaredNames,
  checkAndAddRoute,
  newCompilation,
  removeRoute,
} from './route-index.js';

const routesPerSlice = 100;
const maxIssues = 200;
/** Maximum fraction of new chunks for which an earlier configuration is patched instead of compiling all. */
const maxPatchedFraction = 1 / 4;

interface ConfigurationIdentity {
  readonly generation: Generation;
  readonly hash: Hash;
}

type Compilation<T> = Generator<undefined, T>;

const isArray = (raw: unknown): raw is readonly unknown[] => Array.isArray(raw);

/** Compiles the routes of one chunk; `firstIndex` is the position of its first route in the document. */
function* compileChunk(
  state: CompilationState,
  declared: DeclaredNames | undefined,
  text: string,
  firstIndex: number,
): Compilation<{ readonly routes: ChunkRoutes; readonly count: number }> {
  const list: unknown = JSON.parse(text);
  const routes: IndexedRoute[] = [];
  let count = 0;
  for (const raw of isArray(list) ? list : []) {
    const index = firstIndex + count;
    const route = parseCollecting(routeSchema, raw, `routes.${index}`, state.issues);
    const indexed =
      route === undefined ? undefined : checkAndAddRoute(state, declared, route, index);
    if (indexed !== undefined) routes.push(indexed);
    count += 1;
    if (state.issues.length > maxIssues) break;
    if (index % routesPerSlice === 0) yield undefined;
  }
  return { routes, count };
}

const classNamesByService = (
  routesByChunk: ReadonlyMap<string, ChunkRoutes>,
): ReadonlyMap<ServiceName, ReadonlySet<ServiceClassName>> => {
  const names = new Map<ServiceName, Set<ServiceClassName>>();
  for (const routes of routesByChunk.values())
    for (const { route } of routes)
      for (const { service } of route.weightedServices)
        names.set(
          service,
          (names.get(service) ?? new Set<ServiceClassName>()).add(route.className),
        );
  return names;
};

interface CompiledParts extends DeclaredNames {
  readonly header: ConfigurationHeader;
  readonly headerText: string;
  readonly routesByChunk: ReadonlyMap<string, ChunkRoutes>;
}

const toCompiledConfiguration = (
  state: CompilationState,
  { header, headerText, services, classes, routesByChunk }: CompiledParts,
  { generation, hash }: ConfigurationIdentity,
): CompiledConfiguration => {
  const namesByService = classNamesByService(routesByChunk);
  checkClassShares(namesByService, classes, state.issues);
  const classesByService = new Map(
    [...namesByService].map(([service, names]) => [
      service,
      new Map(
        header.classes.filter(({ name }) => names.has(name)).map((used) => [used.name, used]),
      ),
    ]),
  );
  return {
    generation,
    hash,
    header,
    headerText,
    routesByChunk,
    classes,
    services,
    classesByService,
    routesByName: state.routesByName,
    exactRoutes: state.exactRoutes.routesByHost,
    prefixRoutes: state.prefixRoutes.routesByHost,
    routeCount: state.routesByName.size,
    rolloutPolicy: header.rollout,
  };
};

/**
 * Patches an earlier configuration that differs in a few chunks. Returns undefined if that is not
 * possible or if there are issues; a full compilation then reports them with their positions.
 */
function* patchConfiguration(
  before: CompiledConfiguration,
  texts: readonly string[],
  identity: ConfigurationIdentity,
): Compilation<CompiledConfiguration | undefined> {
  const [headerText, ...chunks] = texts;
  const newChunks = new Set(chunks);
  if (headerText !== before.headerText || newChunks.size !== chunks.length) return undefined;
  const added = chunks.filter((text) => !before.routesByChunk.has(text));
  if (added.length > chunks.length * maxPatchedFraction) return undefined;
  const state = newCompilation(before);
  for (const [text, routes] of before.routesByChunk)
    if (!newChunks.has(text)) for (const route of routes) removeRoute(state, route);
  yield undefined;
  const routesByChunk = new Map([...before.routesByChunk].filter(([text]) => newChunks.has(text)));
  for (const text of added)
    routesByChunk.set(text, (yield* compileChunk(state, before, text, 0)).routes);
  const compiled = toCompiledConfiguration(state, { ...before, routesByChunk }, identity);
  return state.issues.length > 0 ? undefined : compiled;
}

/** Validates and compiles a whole configuration; stops after `maxIssues` issues. */
function* compileConfiguration(
  texts: readonly string[],
  identity: ConfigurationIdentity,
): Compilation<Result<CompiledConfiguration, readonly ValidationIssue[]>> {
  const [headerText = '', ...chunks] = texts;
  const state = newCompilation(undefined);
  const header = parseCollecting(configurationHeader, JSON.parse(headerText), '', state.issues);
  if (header !== undefined) checkHeader(header, state.issues);
  const declared =
    header === undefined
      ? undefined
      : {
          services: new Map(header.services.map((service) => [service.name, service])),
          classes: new Map(
            header.classes.map((declaredClass) => [declaredClass.name, declaredClass]),
          ),
        };
  const routesByChunk = new Map<string, ChunkRoutes>();
  let index = 0;
  for (const text of chunks) {
    const compiledChunk = yield* compileChunk(state, declared, text, index);
    routesByChunk.set(text, compiledChunk.routes);
    index += compiledChunk.count;
    if (state.issues.length > maxIssues) break;
  }
  if (header === undefined || declared === undefined) return err(state.issues);
  const parts = { header, headerText, ...declared, routesByChunk };
  const compiled = toCompiledConfiguration(state, parts, identity);
  return state.issues.length > 0 ? err(state.issues) : ok(compiled);
}

/**
 * Compiles a configuration from the texts of its chunks, the header first. Patches the configuration
 * `before` if most chunks are the same. Text that is not JSON is reported as an issue.
 */
export function* buildConfiguration(
  texts: readonly string[],
  generation: Generation,
  hash: Hash,
  before?: CompiledConfiguration,
): Compilation<Result<CompiledConfiguration, readonly ValidationIssue[]>> {
  if (texts.length === 0) return err([validationIssue('(whole)', 'no pieces')]);
  const identity = { generation, hash };
  try {
    const patched =
      before === undefined ? undefined : yield* patchConfiguration(before, texts, identity);
    return patched === undefined ? yield* compileConfiguration(texts, identity) : ok(patched);
  } catch (error) {
    const reason = error instanceof Error ? error.message : 'unreadable';
    return err([validationIssue('(whole)', `not JSON: ${reason}`)]);
  }
}

/** Runs time-sliced work to completion without pausing. */
export const runToCompletion = <T>(work: Generator<undefined, T>): T => {
  for (;;) {
    const next = work.next();
    if (next.done === true) return next.value;
  }
};
