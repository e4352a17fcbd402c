/** Compiled form of a configuration, which nodes run: immutable, with defaults filled in. */

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

/** A compiled route, with defaults filled in. */
export interface CompiledRoute {
  readonly name: RouteName;
  /** First of its services with a weight above 0. */
  readonly service: ServiceName;
  /** All of its services with their weights; a single one for a route that is not split. */
  readonly weightedServices: readonly WeightedService[];
  readonly className: ServiceClassName;
  readonly methods: ReadonlySet<string>;
  readonly isIdempotent: boolean;
  readonly timeoutMs: number;
  /** Latency target of a response, in milliseconds. */
  readonly latencyTargetMs: number | undefined;
  /** Maximum number of origins that one request may be sent to. */
  readonly maxOrigins: number | undefined;
  /** Priority under overload; 0 is the highest. */
  readonly priority: number;
  readonly cache: Route['cache'];
}

/** Routes by host and then by path or prefix; an empty host matches any. */
export type RouteIndex = ReadonlyMap<string, ReadonlyMap<string, readonly CompiledRoute[]>>;

/** A route with its place in the index. */
export interface IndexedRoute {
  readonly route: CompiledRoute;
  readonly host: string;
  readonly path: string;
  /** Whether the path must match exactly; otherwise it is a prefix. */
  readonly isExact: boolean;
}

/** Routes of one chunk with their places in the index, so that a patch can remove them. */
export type ChunkRoutes = readonly IndexedRoute[];

/** A configuration as nodes run it: routes indexed for matching, and classes and services by name. */
export interface CompiledConfiguration {
  readonly generation: Generation;
  readonly hash: Hash;
  readonly header: ConfigurationHeader;
  readonly headerText: string;
  /** Routes of each chunk, by the chunk's text, which the next configuration reuses for chunks in common. */
  readonly routesByChunk: ReadonlyMap<string, ChunkRoutes>;
  readonly classes: ReadonlyMap<ServiceClassName, ServiceClass>;
  readonly services: ReadonlyMap<ServiceName, Service>;
  /** Classes whose routes go to each service; only they have a share of its slots. */
  readonly classesByService: ReadonlyMap<ServiceName, ReadonlyMap<ServiceClassName, ServiceClass>>;
  readonly routesByName: ReadonlyMap<RouteName, CompiledRoute>;
  readonly exactRoutes: RouteIndex;
  readonly prefixRoutes: RouteIndex;
  readonly routeCount: number;
  readonly rolloutPolicy: RolloutPolicy;
}
