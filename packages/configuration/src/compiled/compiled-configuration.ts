import type { ClassName, Generation, Hash, RouteName, ServiceName } from '@switchwheel/types';
import type {
  ServiceClass,
  ConfigurationHeader,
  WeightedService,
  RolloutPolicy,
  Route,
  Service,
} from '../document/schema.js';

/** A route ready to be matched, with what it leaves out filled in. */
export interface CompiledRoute {
  readonly name: RouteName;
  /** The first of its services. */
  readonly service: ServiceName;
  /** All of its services with their weights; one for a route that is not split. */
  readonly weightedServices: readonly WeightedService[];
  readonly className: ClassName;
  readonly methods: ReadonlySet<string>;
  readonly isIdempotent: boolean;
  readonly timeoutMs: number;
  readonly latencyTargetMs: number | undefined;
  readonly maxOrigins: number | undefined;
  readonly priority: number;
  readonly cache: Route['cache'];
}

/** Tracks by host and then by path or prefix; an empty host stands for all. */
export type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, readonly CompiledRoute[]>>;

/** A track where it lies. */
export interface IndexedRoute {
  readonly route: CompiledRoute;
  readonly host: string;
  readonly path: string;
  /** Whether its path is exact, or a prefix. */
  readonly isExact: boolean;
}
/** What one piece of a description laid. */
export type ChunkRoutes = readonly IndexedRoute[];

/** A whole description, compiled and never changed. */
export interface CompiledConfiguration {
  readonly generation: Generation;
  readonly hash: Hash;
  readonly header: ConfigurationHeader;
  readonly headerText: string;
  /** What each piece laid, by its text: the next description takes over what it shares. */
  readonly routesByChunk: ReadonlyMap<string, ChunkRoutes>;
  readonly classes: ReadonlyMap<ClassName, ServiceClass>;
  readonly services: ReadonlyMap<ServiceName, Service>;
  /** The classes that meet at each service: only they have a share of its slots. */
  readonly classesByService: ReadonlyMap<ServiceName, ReadonlyMap<ClassName, ServiceClass>>;
  readonly routesByName: ReadonlyMap<RouteName, CompiledRoute>;
  readonly exactRoutes: RouteIndex;
  readonly prefixRoutes: RouteIndex;
  readonly routeCount: number;
  readonly rolloutPolicy: RolloutPolicy;
}

export type RouteMatch =
  | { readonly outcome: 'matched'; readonly route: CompiledRoute }
  | { readonly outcome: 'methodNotAllowed'; readonly methods: readonly string[] }
  | { readonly outcome: 'notFound' };

/** Finds the track for a request: an exact path first, then the longest prefix; a named host before any. */
export const matchRoute = (
  table: CompiledConfiguration,
  method: string,
  host: string,
  path: string,
): RouteMatch => {
  const seen = new Set<string>();
  for (const name of [host, '']) {
    const rows = [table.exactRoutes.get(name)?.get(path) ?? []];
    const tree = table.prefixRoutes.get(name);
    if (tree !== undefined) {
      for (
        let cut = path.lastIndexOf('/');
        cut >= 0;
        cut = cut === 0 ? -1 : path.lastIndexOf('/', cut - 1)
      ) {
        rows.push(tree.get(path.slice(0, cut + 1)) ?? []);
      }
    }
    for (const row of rows) {
      for (const track of row) {
        if (track.methods.has(method)) return { outcome: 'matched', route: track };
        for (const other of track.methods) seen.add(other);
      }
    }
  }
  return seen.size > 0
    ? { outcome: 'methodNotAllowed', methods: [...seen].sort() }
    : { outcome: 'notFound' };
};

/** The service that a request goes to: `chance` from 0 up to 1 falls into the weights. */
export const pickService = (track: CompiledRoute, chance: number): ServiceName => {
  if (track.weightedServices.length === 1) return track.service;
  let left = chance * track.weightedServices.reduce((sum, one) => sum + one.weight, 0);
  for (const one of track.weightedServices) {
    if (one.weight <= 0) continue;
    left -= one.weight;
    if (left < 0) return one.service;
  }
  return track.weightedServices.findLast((one) => one.weight > 0)?.service ?? track.service;
};
