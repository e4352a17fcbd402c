/**
 * Validates the routes of a configuration and indexes them by host and path. The index may start from
 * an earlier configuration's, whose tables are copied only for hosts that change.
 */

import type { RouteName } from '@switchwheel/types';
import type { Route, WeightedService } from '../document/schema.js';
import { type ValidationIssue, validationIssue } from '../document/validation-issue.js';
import type {
  CompiledConfiguration,
  CompiledRoute,
  IndexedRoute,
} from './compiled-configuration.js';

/** Services and classes that a route may refer to. */
export type DeclaredNames = Pick<CompiledConfiguration, 'services' | 'classes'>;

interface RouteIndexBuilder {
  readonly routesByHost: Map<string, ReadonlyMap<string, readonly CompiledRoute[]>>;
  /** Tables of hosts that this builder has copied and may change. */
  readonly copiedHosts: Map<string, Map<string, readonly CompiledRoute[]>>;
}

/** Mutable state of a compilation. */
export interface CompilationState {
  readonly issues: ValidationIssue[];
  /** Position in the document at which each route's name was first seen. */
  readonly indexByName: Map<string, number>;
  readonly methodSets: Map<string, ReadonlySet<string>>;
  readonly routesByName: Map<RouteName, CompiledRoute>;
  readonly exactRoutes: RouteIndexBuilder;
  readonly prefixRoutes: RouteIndexBuilder;
}

const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Starts a compilation, with the routes of an earlier configuration if there is one. */
export const newCompilation = (before: CompiledConfiguration | undefined): CompilationState => ({
  issues: [],
  methodSets: new Map(),
  indexByName: new Map([...(before?.routesByName.keys() ?? [])].map((name) => [name, 0])),
  routesByName: new Map(before?.routesByName),
  exactRoutes: { routesByHost: new Map(before?.exactRoutes), copiedHosts: new Map() },
  prefixRoutes: { routesByHost: new Map(before?.prefixRoutes), copiedHosts: new Map() },
});

/** Returns one shared set per list of methods, as many routes have the same methods. */
const internMethods = (
  state: CompilationState,
  methods: readonly string[],
): ReadonlySet<string> => {
  const key = methods.join(' ');
  const existing = state.methodSets.get(key);
  if (existing !== undefined) return existing;
  const added = new Set(methods);
  state.methodSets.set(key, added);
  return added;
};

const weightedServicesOf = (route: Route): readonly WeightedService[] =>
  route.split ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }]);

const compileRoute = (
  state: CompilationState,
  route: Route,
  firstService: WeightedService,
  weightedServices: readonly WeightedService[],
): CompiledRoute => ({
  name: route.name,
  service: firstService.service,
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
  const existingCopy = builder.copiedHosts.get(host);
  if (existingCopy !== undefined) return existingCopy;
  const copy = new Map(builder.routesByHost.get(host));
  builder.copiedHosts.set(host, copy);
  builder.routesByHost.set(host, copy);
  return copy;
};

/** Removes a route from the index. */
export const removeRoute = (state: CompilationState, indexed: IndexedRoute): void => {
  const { route, host, path, isExact } = indexed;
  const builder = isExact ? state.exactRoutes : state.prefixRoutes;
  const routesByPath = writableRoutesOf(builder, host);
  const remainingRoutes = (routesByPath.get(path) ?? []).filter((other) => other !== route);
  if (remainingRoutes.length > 0) routesByPath.set(path, remainingRoutes);
  else routesByPath.delete(path);
  if (routesByPath.size === 0) {
    builder.routesByHost.delete(host);
    builder.copiedHosts.delete(host);
  }
  state.routesByName.delete(route.name);
  state.indexByName.delete(route.name);
};

/** Reports other routes of the same host and path that have a method in common with a route. */
const reportConflicts = (
  state: CompilationState,
  route: CompiledRoute,
  others: readonly CompiledRoute[],
  target: string,
  position: string,
): void => {
  for (const other of others) {
    const shared = [...route.methods].filter((name) => other.methods.has(name));
    if (shared.length === 0) continue;
    const text = `the route ${route.name} clashes with ${other.name}: both match ${shared.join(', ')} ${target}`;
    state.issues.push(validationIssue(position, text));
  }
};

const addRoute = (
  state: CompilationState,
  route: Route,
  position: string,
): IndexedRoute | undefined => {
  if ((route.path === undefined) === (route.prefix === undefined)) {
    state.issues.push(validationIssue(position, 'a route has either a path or a prefix'));
    return undefined;
  }
  const path = route.path ?? route.prefix ?? '';
  const host = route.host ?? '';
  const isExact = route.path !== undefined;
  const routesByPath = writableRoutesOf(isExact ? state.exactRoutes : state.prefixRoutes, host);
  const others = routesByPath.get(path) ?? [];
  const services = weightedServicesOf(route);
  const firstService = services.find((service) => service.weight > 0) ?? services[0];
  if (firstService === undefined || (route.service !== undefined && route.split !== undefined)) {
    state.issues.push(validationIssue(position, 'a route has either a service or a split'));
    return undefined;
  }
  const compiled = compileRoute(state, route, firstService, services);
  reportConflicts(state, compiled, others, `${host}${path}`, position);
  routesByPath.set(path, [...others, compiled]);
  state.routesByName.set(compiled.name, compiled);
  return { route: compiled, host, path, isExact };
};

const checkName = (state: CompilationState, { name }: Route, index: number): void => {
  const firstIndex = state.indexByName.get(name);
  if (firstIndex === undefined) {
    state.indexByName.set(name, index);
    return;
  }
  const text = `the name ${name} is also that of routes.${firstIndex}`;
  state.issues.push(validationIssue(`routes.${index}.name`, text));
};

const checkReferences = (
  state: CompilationState,
  { services, classes }: DeclaredNames,
  route: Route,
  position: string,
): void => {
  for (const { service } of weightedServicesOf(route))
    if (!services.has(service))
      state.issues.push(validationIssue(`${position}.service`, `no service is named ${service}`));
  if (!classes.has(route.class))
    state.issues.push(validationIssue(`${position}.class`, `no class is named ${route.class}`));
};

/**
 * Validates a route and adds it to the index; undefined if it can't be indexed. The names that it
 * refers to are not checked if `declared` is undefined.
 */
export const checkAndAddRoute = (
  state: CompilationState,
  declared: DeclaredNames | undefined,
  route: Route,
  index: number,
): IndexedRoute | undefined => {
  const position = `routes.${index}`;
  checkName(state, route, index);
  if (declared !== undefined) checkReferences(state, declared, route, position);
  const writes = route.methods.some((name) => name !== 'GET' && name !== 'HEAD');
  if (route.cache !== undefined && writes)
    state.issues.push(validationIssue(`${position}.cache`, 'only GET and HEAD results are kept'));
  if (route.repeatable === true && route.methods.includes('PATCH'))
    state.issues.push(
      validationIssue(`${position}.repeatable`, 'a route with PATCH is never repeatable'),
    );
  return addRoute(state, route, position);
};
