import type { ClassName, Generation, Hash, RouteName, ServiceName } from '@switchwheel/types';
import type { Group, Head, Part, Policy, Route, Service } from './schema.js';

/** A route ready to be matched, with what it leaves out filled in. */
export interface Track {
  readonly name: RouteName;
  /** The first of its services. */
  readonly service: ServiceName;
  /** All of its services with their weights; one for a route that is not split. */
  readonly parts: readonly Part[];
  readonly group: ClassName;
  readonly methods: ReadonlySet<string>;
  readonly repeatable: boolean;
  readonly timeoutMs: number;
  readonly goalMs: number | undefined;
  readonly origins: number | undefined;
  readonly rank: number;
  readonly cache: Route['cache'];
}

/** Tracks by host and then by path or prefix; an empty host stands for all. */
export type Rails = ReadonlyMap<string, ReadonlyMap<string, readonly Track[]>>;

/** A track where it lies. */
export interface Laid {
  readonly track: Track;
  readonly host: string;
  readonly key: string;
  /** Whether its path is exact, or a prefix. */
  readonly exact: boolean;
}
/** What one piece of a description laid. */
export type Portion = readonly Laid[];

/** A whole description, compiled and never changed. */
export interface Table {
  readonly generation: Generation;
  readonly hash: Hash;
  readonly head: Head;
  readonly headText: string;
  /** What each piece laid, by its text: the next description takes over what it shares. */
  readonly portions: ReadonlyMap<string, Portion>;
  readonly groups: ReadonlyMap<ClassName, Group>;
  readonly services: ReadonlyMap<ServiceName, Service>;
  /** The classes that meet at each service: only they have a share of its slots. */
  readonly meeting: ReadonlyMap<ServiceName, ReadonlyMap<ClassName, Group>>;
  readonly tracks: ReadonlyMap<RouteName, Track>;
  readonly exact: Rails;
  readonly prefix: Rails;
  readonly routes: number;
  readonly policy: Policy;
}

export type Match =
  | { readonly found: 'track'; readonly track: Track }
  | { readonly found: 'method'; readonly methods: readonly string[] }
  | { readonly found: 'none' };

/** Finds the track for a request: an exact path first, then the longest prefix; a named host before any. */
export const match = (table: Table, method: string, host: string, path: string): Match => {
  const seen = new Set<string>();
  for (const name of [host, '']) {
    const rows = [table.exact.get(name)?.get(path) ?? []];
    const tree = table.prefix.get(name);
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
        if (track.methods.has(method)) return { found: 'track', track };
        for (const other of track.methods) seen.add(other);
      }
    }
  }
  return seen.size > 0 ? { found: 'method', methods: [...seen].sort() } : { found: 'none' };
};

/** The service that a request goes to: `chance` from 0 up to 1 falls into the weights. */
export const pickService = (track: Track, chance: number): ServiceName => {
  if (track.parts.length === 1) return track.service;
  let left = chance * track.parts.reduce((sum, one) => sum + one.weight, 0);
  for (const one of track.parts) {
    if (one.weight <= 0) continue;
    left -= one.weight;
    if (left < 0) return one.service;
  }
  return track.parts.findLast((one) => one.weight > 0)?.service ?? track.service;
};
