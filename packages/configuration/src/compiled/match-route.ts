/** Matching of requests to routes, and the choice of a route's service. */

import type { ServiceName } from '@switchwheel/types';
import type { CompiledConfiguration, CompiledRoute } from './compiled-configuration.js';

/** Result of matching a request. */
export type RouteMatch =
  | { readonly outcome: 'matched'; readonly route: CompiledRoute }
  | { readonly outcome: 'methodNotAllowed'; readonly methods: readonly string[] }
  | { readonly outcome: 'notFound' };

/**
 * Lists of one host's routes for a path, the most specific first. They are not copied from the index, as this runs for
 * each request.
 */
const candidatesOf = (
  configuration: CompiledConfiguration,
  host: string,
  path: string,
): readonly (readonly CompiledRoute[])[] => {
  const candidates = [configuration.exactRoutes.get(host)?.get(path) ?? []];
  const prefixRoutes = configuration.prefixRoutes.get(host);
  if (prefixRoutes === undefined) return candidates;
  let slashIndex = path.lastIndexOf('/');
  while (slashIndex >= 0) {
    candidates.push(prefixRoutes.get(path.slice(0, slashIndex + 1)) ?? []);
    slashIndex = slashIndex === 0 ? -1 : path.lastIndexOf('/', slashIndex - 1);
  }
  return candidates;
};

/** Finds the route of a request: the request's host before any host, then an exact path before the longest prefix. */
export const matchRoute = (
  configuration: CompiledConfiguration,
  method: string,
  host: string,
  path: string,
): RouteMatch => {
  const otherMethods = new Set<string>();
  for (const hostName of [host, '']) {
    for (const routes of candidatesOf(configuration, hostName, path)) {
      for (const route of routes) {
        if (route.methods.has(method)) return { outcome: 'matched', route };
        for (const other of route.methods) otherMethods.add(other);
      }
    }
  }
  return otherMethods.size > 0
    ? { outcome: 'methodNotAllowed', methods: [...otherMethods].sort() }
    : { outcome: 'notFound' };
};

/** Picks the service of a request by weight; `fraction` is a random number in [0, 1). */
export const pickService = (route: CompiledRoute, fraction: number): ServiceName => {
  const { weightedServices } = route;
  if (weightedServices.length === 1) return route.service;
  let remaining = fraction * weightedServices.reduce((sum, { weight }) => sum + weight, 0);
  for (const { service, weight } of weightedServices) {
    if (weight <= 0) continue;
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return weightedServices.findLast(({ weight }) => weight > 0)?.service ?? route.service;
};
