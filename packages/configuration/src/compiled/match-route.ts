/** Finding the route of a request, and the service of a route. */

import type { ServiceName } from '@switchwheel/types';
import type { CompiledConfiguration, CompiledRoute } from './compiled-configuration.js';

/** What a request matches. */
export type RouteMatch =
  | { readonly outcome: 'matched'; readonly route: CompiledRoute }
  | { readonly outcome: 'methodNotAllowed'; readonly methods: readonly string[] }
  | { readonly outcome: 'notFound' };

/** The prefixes of a path, each with its closing slash, the longest first. */
function* prefixesOf(path: string): Generator<string> {
  let cut = path.lastIndexOf('/');
  while (cut >= 0) {
    yield path.slice(0, cut + 1);
    cut = cut === 0 ? -1 : path.lastIndexOf('/', cut - 1);
  }
}

/** The routes of one host for a path, the most specific first. */
const candidatesOf = (
  configuration: CompiledConfiguration,
  host: string,
  path: string,
): readonly CompiledRoute[] => {
  const exact = configuration.exactRoutes.get(host)?.get(path) ?? [];
  const prefixRoutes = configuration.prefixRoutes.get(host);
  if (prefixRoutes === undefined) return exact;
  const byPrefix = [...prefixesOf(path)].flatMap((prefix) => prefixRoutes.get(prefix) ?? []);
  return [...exact, ...byPrefix];
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
    for (const route of candidatesOf(configuration, name, path)) {
      if (route.methods.has(method)) return { outcome: 'matched', route };
      for (const other of route.methods) otherMethods.add(other);
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
