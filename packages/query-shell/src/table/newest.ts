/** Merges what several registries and proxies report into one view: the newest state of each thing wins. */

import type { FleetSnapshot } from '../snapshot/collect.js';
import type { FleetState, ProxyState } from '../snapshot/schemas.js';

/** A node as a registry sees it. */
export type NodeState = FleetState['nodes'][number];

/** The newest state of each node, whichever registry has it, by name. */
export const newestNodes = (snapshot: FleetSnapshot): readonly NodeState[] => {
  const best = new Map<string, NodeState>();
  for (const fleet of snapshot.fleets) {
    for (const node of fleet.nodes) {
      const old = best.get(node.node);
      if (
        old === undefined ||
        node.incarnation > old.incarnation ||
        (node.incarnation === old.incarnation && node.ageMs < old.ageMs)
      )
        best.set(node.node, node);
    }
  }
  return [...best.values()].sort((one, two) => (one.node < two.node ? -1 : 1));
};

/** The generation that a node should run, as the most advanced registry has it. */
export const desiredGeneration = (snapshot: FleetSnapshot, node: string): number | undefined => {
  const top = [...snapshot.fleets].sort((one, two) => two.generation - one.generation)[0];
  return top?.desired.find((one) => one.node === node)?.generation;
};

/** The newest announcement of each origin, whichever registry has it. */
export const newestOrigins = (
  snapshot: FleetSnapshot,
): readonly FleetState['origins'][number][] => {
  const best = new Map<string, FleetState['origins'][number]>();
  for (const fleet of snapshot.fleets) {
    for (const one of fleet.origins) {
      const old = best.get(one.instance);
      if (old === undefined || one.ageMs < old.ageMs || one.state !== 'up')
        best.set(one.instance, one);
    }
  }
  return [...best.values()];
};

/** A service's leader as the shield that holds its lease reports it. */
export type ServiceLeaderState = ProxyState['keepers'][number] & { readonly node: string };

/** The leaders of all services, with the node that each runs on. */
export const serviceLeaders = (snapshot: FleetSnapshot): readonly ServiceLeaderState[] =>
  snapshot.proxies.flatMap((proxy) =>
    proxy.keepers.map((leader) => ({ ...leader, node: proxy.node })),
  );
