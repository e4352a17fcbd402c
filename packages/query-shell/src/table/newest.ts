/** Merge of the reports of several registries and proxies. */

import type { FleetSnapshot } from '../snapshot/collect.js';
import type { FleetState, ProxyState } from '../snapshot/schemas.js';

/** State of a node as a registry reports it. */
export type NodeState = FleetState['nodes'][number];

/** Returns the newest state of each node among all registries, sorted by name. */
export const newestNodes = (snapshot: FleetSnapshot): readonly NodeState[] => {
  const newestByName = new Map<string, NodeState>();
  for (const fleet of snapshot.fleets) {
    for (const node of fleet.nodes) {
      const previous = newestByName.get(node.node);
      if (
        previous === undefined ||
        node.incarnation > previous.incarnation ||
        (node.incarnation === previous.incarnation && node.ageMs < previous.ageMs)
      )
        newestByName.set(node.node, node);
    }
  }
  return [...newestByName.values()].sort((left, right) => (left.node < right.node ? -1 : 1));
};

/** Returns the generation that a node should run, according to the registry with the highest generation. */
export const desiredGeneration = (snapshot: FleetSnapshot, node: string): number | undefined => {
  const newestFleet = [...snapshot.fleets].sort(
    (left, right) => right.generation - left.generation,
  )[0];
  return newestFleet?.desired.find((desired) => desired.node === node)?.generation;
};

/** Returns one announcement of each origin: the newest, unless a registry reports a state other than `up`. */
export const newestOrigins = (
  snapshot: FleetSnapshot,
): readonly FleetState['origins'][number][] => {
  const newestByInstance = new Map<string, FleetState['origins'][number]>();
  for (const fleet of snapshot.fleets) {
    for (const origin of fleet.origins) {
      const previous = newestByInstance.get(origin.instance);
      if (previous === undefined || origin.ageMs < previous.ageMs || origin.state !== 'up')
        newestByInstance.set(origin.instance, origin);
    }
  }
  return [...newestByInstance.values()];
};

/** State of a service leader as its shield reports it. */
export type ServiceLeaderState = ProxyState['keepers'][number] & { readonly node: string };

/** Returns the leaders of all services, each with the node that it runs on. */
export const serviceLeaders = (snapshot: FleetSnapshot): readonly ServiceLeaderState[] =>
  snapshot.proxies.flatMap((proxy) =>
    proxy.keepers.map((leader) => ({ ...leader, node: proxy.node })),
  );
