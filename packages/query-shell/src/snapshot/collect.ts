/**
 * Collects the state of a fleet for one query: every registry that can be found, then the proxies that the query needs,
 * then what the primary store answers through a registry. What a table makes of it is left to the tables.
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

/** All that could be learned of the fleet, and which processes did not answer. */
export interface FleetSnapshot {
  /** The fleet as each registry that answered sees it. */
  readonly fleets: readonly FleetState[];
  readonly proxies: readonly ProxyState[];
  readonly stored: StoredState;
  /** Processes that did not answer: the address of a registry, the name of a proxy. */
  readonly unanswered: readonly string[];
  /** Parts that no process could answer, each with the reason. */
  readonly missing: readonly string[];
  /** The age of the oldest message of the primary that a registry relied on. */
  readonly ageMs: number;
}

interface RegistryAnswer {
  readonly address: string;
  readonly fleet: FleetState;
}

/** Asks the registries that are given, then those that they name, until none is new. */
const collectRegistries = async (
  registries: readonly Address[],
  timeoutMs: number,
  unanswered: string[],
): Promise<readonly RegistryAnswer[]> => {
  const addresses = new Set<string>(registries);
  const asked = new Set<string>();
  const answers: RegistryAnswer[] = [];
  for (;;) {
    const next = [...addresses].filter((address) => !asked.has(address));
    if (next.length === 0) return answers;
    for (const address of next) asked.add(address);
    const replies = await Promise.all(
      next.map(async (address) => ({
        address,
        fleet: await fetchAs(fleetSchema, address, '/v1/fleet', timeoutMs),
      })),
    );
    for (const { address, fleet } of replies) {
      if (fleet === undefined) {
        unanswered.push(address);
        continue;
      }
      answers.push({ address, fleet });
      for (const node of fleet.nodes)
        if (node.role === 'registry' && isAddress(node.admin)) addresses.add(node.admin);
    }
  }
};

/** Asks the shields and edges that the sources call for, sorted by name. */
const collectProxies = async (
  fleets: readonly FleetState[],
  sources: ReadonlySet<string>,
  timeoutMs: number,
  unanswered: string[],
): Promise<readonly ProxyState[]> => {
  const known = new Map<string, { readonly admin: string; readonly role: string }>();
  for (const fleet of fleets)
    for (const node of fleet.nodes)
      if (isAddress(node.admin)) known.set(node.node, { admin: node.admin, role: node.role });
  const wanted = [...known].filter(
    ([, { role }]) =>
      (role === 'shield' && sources.has('keepers')) || (role === 'edge' && sources.has('edges')),
  );
  const proxies: ProxyState[] = [];
  await Promise.all(
    wanted.map(async ([name, { admin }]) => {
      const proxy = await fetchAs(proxySchema, admin, '/state', timeoutMs);
      if (proxy === undefined) unanswered.push(name);
      else proxies.push(proxy);
    }),
  );
  return proxies.sort((one, two) => (one.node < two.node ? -1 : 1));
};

/** Asks for the stored parts through the registries that heard from the primary last. */
const collectStored = async (
  answers: readonly RegistryAnswer[],
  sources: ReadonlySet<string>,
  timeoutMs: number,
): Promise<StoredState> => {
  const feedAgeMs = ({ fleet }: RegistryAnswer): number => fleet.feedAgeMs ?? Infinity;
  const addresses = [...answers]
    .sort((one, two) => feedAgeMs(one) - feedAgeMs(two))
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

/** Collects what a query needs; `sources` names the parts beside the registries' own state. */
export const collectSnapshot = async (
  registries: readonly Address[],
  sources: ReadonlySet<string>,
  timeoutMs: number,
): Promise<FleetSnapshot> => {
  const unanswered: string[] = [];
  const answers = await collectRegistries(registries, timeoutMs, unanswered);
  const fleets = answers.map(({ fleet }) => fleet);
  const proxies = await collectProxies(fleets, sources, timeoutMs, unanswered);
  const stored = await collectStored(answers, sources, timeoutMs);
  const missing = Object.entries(stored)
    .filter(([name, part]) => sources.has(name) && part === undefined)
    .map(([name]) => `${name} (the primary does not answer)`);
  if (fleets.length === 0) missing.push('everything (no registry answers)');
  return {
    fleets,
    proxies,
    stored,
    unanswered: unanswered.sort(),
    missing,
    ageMs: Math.max(0, ...fleets.map((fleet) => fleet.feedAgeMs ?? 0)),
  };
};
