/**
 * Collection of the state of a fleet for one query: from every registry that is discovered, from the proxies that the
 * query needs, and from the primary store through a registry.
 */

import type * as v from 'valibot';
import { type Address, isAddress } from '@switchwheel/types';
import { fetchAs, fetchFirst } from './fetch.js';
import {
  type FleetState,
  type ProxyState,
  type StoredState,
  fleetSchema,
  proxySchema,
  storedSchemas,
} from './schemas.js';

/** State of a fleet, as far as it could be collected. */
export interface FleetSnapshot {
  /** State of the fleet as each registry that responded reports it. */
  readonly fleets: readonly FleetState[];
  readonly proxies: readonly ProxyState[];
  readonly stored: StoredState;
  /** Processes that did not respond, sorted: addresses of registries and names of proxies. */
  readonly unresponsive: readonly string[];
  /** Parts of the state that no process returned, each with the reason. */
  readonly missing: readonly string[];
  /** Age of the oldest update from the primary among the registries that responded. */
  readonly ageMs: number;
}

interface RegistryFleet {
  readonly address: string;
  readonly fleet: FleetState;
}

/** Queries the given registries, then those that they list, until none is new. */
const collectRegistries = async (
  registries: readonly Address[],
  timeoutMs: number,
  unresponsive: string[],
): Promise<readonly RegistryFleet[]> => {
  const addresses = new Set<string>(registries);
  const queried = new Set<string>();
  const replies: RegistryFleet[] = [];
  for (;;) {
    const next = [...addresses].filter((address) => !queried.has(address));
    if (next.length === 0) return replies;
    for (const address of next) queried.add(address);
    const results = await Promise.all(
      next.map(async (address) => ({
        address,
        fleet: await fetchAs(fleetSchema, address, '/v1/fleet', timeoutMs),
      })),
    );
    for (const { address, fleet } of results) {
      if (fleet === undefined) {
        unresponsive.push(address);
        continue;
      }
      replies.push({ address, fleet });
      for (const node of fleet.nodes)
        if (node.role === 'registry' && isAddress(node.admin)) addresses.add(node.admin);
    }
  }
};

/** Queries the shields and edges that the sources require; returns their states sorted by name. */
const collectProxies = async (
  fleets: readonly FleetState[],
  sources: ReadonlySet<string>,
  timeoutMs: number,
  unresponsive: string[],
): Promise<readonly ProxyState[]> => {
  const nodesByName = new Map<string, { readonly admin: string; readonly role: string }>();
  for (const fleet of fleets)
    for (const node of fleet.nodes)
      if (isAddress(node.admin)) nodesByName.set(node.node, { admin: node.admin, role: node.role });
  const requiredProxies = [...nodesByName].filter(
    ([, { role }]) =>
      (role === 'shield' && sources.has('serviceLeaders')) ||
      (role === 'edge' && sources.has('edges')),
  );
  const proxies: ProxyState[] = [];
  await Promise.all(
    requiredProxies.map(async ([name, { admin }]) => {
      const proxy = await fetchAs(proxySchema, admin, '/state', timeoutMs);
      if (proxy === undefined) unresponsive.push(name);
      else proxies.push(proxy);
    }),
  );
  return proxies.sort((left, right) => (left.node < right.node ? -1 : 1));
};

/** Fetches stored parts through registries, starting with the one that has the most recent update from the primary. */
const collectStored = async (
  replies: readonly RegistryFleet[],
  sources: ReadonlySet<string>,
  timeoutMs: number,
): Promise<StoredState> => {
  const feedAgeMs = ({ fleet }: RegistryFleet): number => fleet.feedAgeMs ?? Infinity;
  const addresses = [...replies]
    .sort((left, right) => feedAgeMs(left) - feedAgeMs(right))
    .map(({ address }) => address);
  const fetchPart = <T>(
    name: string,
    schema: v.GenericSchema<unknown, T>,
  ): Promise<T | undefined> =>
    sources.has(name)
      ? fetchFirst(schema, addresses, `/v1/${name}`, timeoutMs)
      : Promise.resolve(undefined);
  return {
    rollouts: await fetchPart('rollouts', storedSchemas.rollouts),
    nodes: await fetchPart('nodes', storedSchemas.nodes),
    purges: await fetchPart('purges', storedSchemas.purges),
    verdicts: await fetchPart('verdicts', storedSchemas.verdicts),
    store: await fetchPart('store', storedSchemas.store),
  };
};

/** Collects the state that a query needs; `sources` are the parts needed in addition to the registries' own state. */
export const collectSnapshot = async (
  registries: readonly Address[],
  sources: ReadonlySet<string>,
  timeoutMs: number,
): Promise<FleetSnapshot> => {
  const unresponsive: string[] = [];
  const replies = await collectRegistries(registries, timeoutMs, unresponsive);
  const fleets = replies.map(({ fleet }) => fleet);
  const proxies = await collectProxies(fleets, sources, timeoutMs, unresponsive);
  const stored = await collectStored(replies, sources, timeoutMs);
  const missing = Object.entries(stored)
    .filter(([name, part]) => sources.has(name) && part === undefined)
    .map(([name]) => `${name} (the primary did not respond)`);
  if (fleets.length === 0) missing.push('everything (no registry responded)');
  return {
    fleets,
    proxies,
    stored,
    unresponsive: unresponsive.sort(),
    missing,
    ageMs: Math.max(0, ...fleets.map((fleet) => fleet.feedAgeMs ?? 0)),
  };
};
