/** Tables of the control plane: leases, registries, rollouts, purges and stores. */

import type { FleetState } from '../snapshot/schemas.js';
import { type Table, row } from './table.js';

/** Table `duties`: one row per lease. */
export const dutiesTable: Table = {
  summary: 'leases with their holders, epochs and grants of voters',
  sources: [],
  columns: ['duty', 'node', 'epoch', 'voters', 'left'],
  rows: (snapshot) => {
    const newestByLease = new Map<string, FleetState['holders'][number]>();
    for (const fleet of snapshot.fleets)
      for (const holder of fleet.holders)
        if ((newestByLease.get(holder.duty)?.epoch ?? -1) < holder.epoch)
          newestByLease.set(holder.duty, holder);
    return [...newestByLease.values()]
      .sort((left, right) => (left.duty < right.duty ? -1 : 1))
      .map((holder) => {
        const grants = snapshot.fleets.flatMap((fleet) =>
          fleet.voter.grants.filter(
            (grant) =>
              grant.duty === holder.duty && grant.epoch === holder.epoch && grant.leftMs > 0,
          ),
        );
        return row(
          ['duty', holder.duty],
          ['node', holder.node],
          ['epoch', holder.epoch],
          ['voters', grants.length],
          ['left', Math.max(0, ...grants.map((grant) => grant.leftMs))],
        );
      });
  },
};

/** Table `registries`: one row per registry that responded. */
export const registriesTable: Table = {
  summary: 'registries with the state that each has received',
  sources: [],
  columns: ['registry', 'touch', 'feed', 'epoch', 'generation', 'purges', 'recovering', 'voters'],
  rows: (snapshot) =>
    snapshot.fleets.map((fleet) =>
      row(
        ['registry', fleet.registry],
        ['touch', fleet.inTouch],
        ['feed', fleet.feedAgeMs],
        ['epoch', fleet.epoch],
        ['generation', fleet.generation],
        ['purges', fleet.purges.top],
        ['recovering', fleet.voter.recovering],
        ['voters', fleet.electorate?.members.map((member) => member.node).join(' ')],
      ),
    ),
};

/** Table `rollouts`: one row per configuration rollout. */
export const rolloutsTable: Table = {
  summary: 'configuration rollouts, newest first',
  sources: ['rollouts'],
  columns: ['generation', 'status', 'wave', 'waves', 'troubled', 'targets', 'failed'],
  rows: (snapshot) =>
    (snapshot.stored.rollouts?.rollouts ?? []).map((rollout) =>
      row(
        ['generation', rollout.generation],
        ['status', rollout.status],
        ['wave', rollout.wave + 1],
        ['waves', rollout.waves],
        ['troubled', rollout.troubled],
        ['targets', rollout.targets.length],
        ['failed', rollout.targets.filter((target) => target.status === 'failed').length],
      ),
    ),
};

/** Table `targets`: one row per rollout and target node. */
export const targetsTable: Table = {
  summary: 'nodes that rollouts target',
  sources: ['rollouts'],
  columns: ['generation', 'node', 'wave', 'status', 'why'],
  rows: (snapshot) =>
    (snapshot.stored.rollouts?.rollouts ?? []).flatMap((rollout) =>
      rollout.targets.map((target) =>
        row(
          ['generation', rollout.generation],
          ['node', target.node],
          ['wave', target.wave + 1],
          ['status', target.status],
          ['why', target.text],
        ),
      ),
    ),
};

/** Table `purges`: one row per retained batch of purges. */
export const purgesTable: Table = {
  summary: 'retained batches of purges',
  sources: ['purges'],
  columns: ['number', 'aims', 'first'],
  rows: (snapshot) =>
    (snapshot.stored.purges?.purges ?? []).map((batch) =>
      row(
        ['number', batch.seq],
        ['aims', batch.aims.length],
        ['first', JSON.stringify(batch.aims[0])],
      ),
    ),
};

/** Table `stores`: one row per store of the cluster. */
export const storesTable: Table = {
  summary: 'stores and their replication state',
  sources: ['store'],
  columns: ['store', 'primary', 'inSyncSet', 'epoch', 'entries', 'waiting'],
  rows: (snapshot) => {
    const primary = snapshot.stored.store;
    return (primary?.metadata?.stores ?? []).map((store) =>
      row(
        ['store', store.node],
        ['primary', primary?.store === store.node],
        ['inSyncSet', primary?.metadata?.inSyncSet.includes(store.node)],
        ['epoch', primary?.epoch],
        ['entries', primary?.store === store.node ? primary.entries : null],
        ['waiting', primary?.store === store.node ? primary.waitlist : null],
      ),
    );
  },
};
