/**
 * The form of a compiled configuration, which nodes run: immutable, and complete where the document
 * leaves things out.
 */

import type {
  ServiceClassName,
  Generation,
  Hash,
  RouteName,
  ServiceName,
} from '@switchwheel/types';
import type {
  ServiceClass,
  ConfigurationHeader,
  WeightedService,
  RolloutPolicy,
  Route,
  Service,
} from '../document/schema.js';

/** A route ready to be matched, with the defaults filled in. */
export interface CompiledRoute {
  readonly name: RouteName;
  /** The first of its services with a weight above 0. */
  readonly service: ServiceName;
  /** All of its services with their weights; one for a route that is not split. */
  readonly weightedServices: readonly WeightedService[];
  readonly className: ServiceClassName;
  readonly methods: ReadonlySet<string>;
  readonly isIdempotent: boolean;
  readonly timeoutMs: number;
  /** Within which time a response is worth most. */
  readonly latencyTargetMs: number | undefined;
  /** The largest number of origins that one request may be sent to. */
  readonly maxOrigins: number | undefined;
  /** 0 is the highest: it goes first when not everything can be served. */
  readonly priority: number;
  readonly cache: Route['cache'];
}

/** Routes by host and then by path or prefix; an empty host stands for all. */
export type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, readonly CompiledRoute[]>>;

/** A route with its place in the index. */
export interface IndexedRoute {
  readonly route: CompiledRoute;
  readonly host: string;
  readonly path: string;
  /** Whether its path is exact, or a prefix. */
  readonly isExact: boolean;
}

/** The routes of one chunk. */
export type ChunkRoutes = readonly IndexedRoute[];

/** A whole configuration, compiled. */
export interface CompiledConfiguration {
  readonly generation: Generation;
  readonly hash: Hash;
  readonly header: ConfigurationHeader;
  readonly headerText: string;
  /** The routes of each chunk, by its text: the next configuration takes over what it shares. */
  readonly routesByChunk: ReadonlyMap<string, ChunkRoutes>;
  readonly classes: ReadonlyMap<ServiceClassName, ServiceClass>;
  readonly services: ReadonlyMap<ServiceName, Service>;
  /** The classes whose routes go to each service: only they have a share of its slots. */
  readonly classesByService: ReadonlyMap<ServiceName, ReadonlyMap<ServiceClassName, ServiceClass>>;
  readonly routesByName: ReadonlyMap<RouteName, CompiledRoute>;
  readonly exactRoutes: RouteIndex;
  readonly prefixRoutes: RouteIndex;
  readonly routeCount: number;
  readonly rolloutPolicy: RolloutPolicy;
}
