/** Finding the route of a request, and the service of a route. */

import type { ServiceName } from '@switchwheel/types';
import type { CompiledConfiguration, CompiledRoute } from './compiled-configuration.js';

/** What a request matches. */
export type RouteMatch =
  | { readonly outcome: 'matched'; readonly route: CompiledRoute }
  | { readonly outcome: 'methodNotAllowed'; readonly methods: readonly string[] }
  | { readonly outcome: 'notFound' };

/**
 * The routes of one host for a path, the most specific first. The lists are those of the index, not copies: this runs
 * for each request.
 */
const candidatesOf = (
  configuration: CompiledConfiguration,
  host: string,
  path: string,
): readonly (readonly CompiledRoute[])[] => {
  const candidates = [configuration.exactRoutes.get(host)?.get(path) ?? []];
  const prefixRoutes = configuration.prefixRoutes.get(host);
  if (prefixRoutes === undefined) return candidates;
  let cut = path.lastIndexOf('/');
  while (cut >= 0) {
    candidates.push(prefixRoutes.get(path.slice(0, cut + 1)) ?? []);
    cut = cut === 0 ? -1 : path.lastIndexOf('/', cut - 1);
  }
  return candidates;
};

/** Finds the route of a request: an exact path first, then the longest prefix; a named host before any. */
export const matchRoute = (
  configuration: CompiledConfiguration,
  method: string,
  host: string,
  path: string,
): RouteMatch => {
  const otherMethods = new Set<string>();
  for (const name of [host, '']) {
    for (const routes of candidatesOf(configuration, name, path)) {
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

/** The service that a request goes to: `fraction`, from 0 up to 1, falls into the weights. */
export const pickService = (route: CompiledRoute, fraction: number): ServiceName => {
  const { weightedServices } = route;
  if (weightedServices.length === 1) return route.service;
  let left = fraction * weightedServices.reduce((sum, { weight }) => sum + weight, 0);
  for (const { service, weight } of weightedServices) {
    if (weight <= 0) continue;
    left -= weight;
    if (left < 0) return service;
  }
  return weightedServices.findLast(({ weight }) => weight > 0)?.service ?? route.service;
};
