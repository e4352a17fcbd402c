/**
 * The routes of a configuration while it is compiled: they are checked, and indexed by host and
 * path. An index may begin as a copy of an earlier configuration's; what the two share is copied
 * only when it changes.
 */

import type { RouteName } from '@switchwheel/types';
import type { Route, WeightedService } from '../document/schema.js';
import { type ValidationIssue, validationIssue } from '../document/validation-issue.js';
import type {
  CompiledConfiguration,
  CompiledRoute,
  IndexedRoute,
} from './compiled-configuration.js';

/** The services and classes that a route may name. */
export type DeclaredNames = Pick<CompiledConfiguration, 'services' | 'classes'>;

interface RouteIndexBuilder {
  readonly routesByHost: Map<string, ReadonlyMap<string, readonly CompiledRoute[]>>;
  /** The hosts whose routes are copies of this builder's own and may change. */
  readonly copiedHosts: Map<string, Map<string, readonly CompiledRoute[]>>;
}

/** A compilation under way. */
export interface CompilationState {
  readonly issues: ValidationIssue[];
  /** The index in the document at which each route's name was first seen. */
  readonly indexByName: Map<string, number>;
  readonly methodSets: Map<string, ReadonlySet<string>>;
  readonly routesByName: Map<RouteName, CompiledRoute>;
  readonly exactRoutes: RouteIndexBuilder;
  readonly prefixRoutes: RouteIndexBuilder;
}

const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Begins a compilation, on top of an earlier configuration's routes if there is one. */
export const newCompilation = (before: CompiledConfiguration | undefined): CompilationState => ({
  issues: [],
  methodSets: new Map(),
  indexByName: new Map([...(before?.routesByName.keys() ?? [])].map((name) => [name, 0])),
  routesByName: new Map(before?.routesByName),
  exactRoutes: { routesByHost: new Map(before?.exactRoutes), copiedHosts: new Map() },
  prefixRoutes: { routesByHost: new Map(before?.prefixRoutes), copiedHosts: new Map() },
});

/** Tens of thousands of routes share few sets of methods: each set is made once. */
const internMethods = (
  state: CompilationState,
  methods: readonly string[],
): ReadonlySet<string> => {
  const key = methods.join(' ');
  const known = state.methodSets.get(key);
  if (known !== undefined) return known;
  const added = new Set(methods);
  state.methodSets.set(key, added);
  return added;
};

const weightedServicesOf = (route: Route): readonly WeightedService[] =>
  route.split ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]);

const compileRoute = (
  state: CompilationState,
  route: Route,
  first: WeightedService,
  weightedServices: readonly WeightedService[],
): CompiledRoute => ({
  name: route.name,
  service: first.service,
  weightedServices,
  className: route.class,
  methods: internMethods(state, route.methods),
  isIdempotent: route.repeatable ?? route.methods.every((name) => idempotentMethods.has(name)),
  timeoutMs: route.timeoutMs,
  latencyTargetMs: route.goalMs,
  maxOrigins: route.origins,
  priority: route.rank ?? 0,
  cache: route.cache,
});

const writableRoutesOf = (
  builder: RouteIndexBuilder,
  host: string,
): Map<string, readonly CompiledRoute[]> => {
  const known = builder.copiedHosts.get(host);
  if (known !== undefined) return known;
  const copy = new Map(builder.routesByHost.get(host));
  builder.copiedHosts.set(host, copy);
  builder.routesByHost.set(host, copy);
  return copy;
};

/** Takes a route out of the index. */
export const removeRoute = (state: CompilationState, indexed: IndexedRoute): void => {
  const { route, host, path, isExact } = indexed;
  const builder = isExact ? state.exactRoutes : state.prefixRoutes;
  const routesByPath = writableRoutesOf(builder, host);
  const rest = (routesByPath.get(path) ?? []).filter((other) => other !== route);
  if (rest.length > 0) routesByPath.set(path, rest);
  else routesByPath.delete(path);
  if (routesByPath.size === 0) {
    builder.routesByHost.delete(host);
    builder.copiedHosts.delete(host);
  }
  state.routesByName.delete(route.name);
  state.indexByName.delete(route.name);
};

/** Two routes clash that match the same host and path by a method in common. */
const reportClashes = (
  state: CompilationState,
  route: CompiledRoute,
  others: readonly CompiledRoute[],
  target: string,
  at: string,
): void => {
  for (const other of others) {
    const shared = [...route.methods].filter((name) => other.methods.has(name));
    if (shared.length === 0) continue;
    const text = `the route ${route.name} clashes with ${other.name}: both match ${shared.join(', ')} ${target}`;
    state.issues.push(validationIssue(at, text));
  }
};

const addRoute = (state: CompilationState, route: Route, at: string): IndexedRoute | undefined => {
  if ((route.path === undefined) === (route.prefix === undefined)) {
    state.issues.push(validationIssue(at, 'a route has either a path or a prefix'));
    return undefined;
  }
  const path = route.path ?? route.prefix ?? '';
  const host = route.host ?? '';
  const isExact = route.path !== undefined;
  const routesByPath = writableRoutesOf(isExact ? state.exactRoutes : state.prefixRoutes, host);
  const others = routesByPath.get(path) ?? [];
  const services = weightedServicesOf(route);
  const first = services.find((service) => service.weight > 0) ?? services[0];
  if (first === undefined || (route.service !== undefined && route.split !== undefined)) {
    state.issues.push(validationIssue(at, 'a route has either a service or a split'));
    return undefined;
  }
  const compiled = compileRoute(state, route, first, services);
  reportClashes(state, compiled, others, `${host}${path}`, at);
  routesByPath.set(path, [...others, compiled]);
  state.routesByName.set(compiled.name, compiled);
  return { route: compiled, host, path, isExact };
};

const checkName = (state: CompilationState, { name }: Route, index: number): void => {
  const first = state.indexByName.get(name);
  if (first === undefined) {
    state.indexByName.set(name, index);
    return;
  }
  const text = `the name ${name} is also that of routes.${first}`;
  state.issues.push(validationIssue(`routes.${index}.name`, text));
};

const checkReferences = (
  state: CompilationState,
  { services, classes }: DeclaredNames,
  route: Route,
  at: string,
): void => {
  for (const { service } of weightedServicesOf(route))
    if (!services.has(service))
      state.issues.push(validationIssue(`${at}.service`, `no service is named ${service}`));
  if (!classes.has(route.class))
    state.issues.push(validationIssue(`${at}.class`, `no class is named ${route.class}`));
};

/** Checks a route and adds it; undefined if it can't be indexed. Without declared names they go unchecked. */
export const checkAndAddRoute = (
  state: CompilationState,
  declared: DeclaredNames | undefined,
  route: Route,
  index: number,
): IndexedRoute | undefined => {
  const at = `routes.${index}`;
  checkName(state, route, index);
  if (declared !== undefined) checkReferences(state, declared, route, at);
  const writes = route.methods.some((name) => name !== 'GET' && name !== 'HEAD');
  if (route.cache !== undefined && writes)
    state.issues.push(validationIssue(`${at}.cache`, 'only GET and HEAD results are kept'));
  if (route.repeatable === true && route.methods.includes('PATCH'))
    state.issues.push(
      validationIssue(`${at}.repeatable`, 'a route with PATCH is never repeatable'),
    );
  return addRoute(state, route, at);
};
