/** Tables of the control plane: leases, registries, rollouts, purges and stores. */

import type { FleetState } from '../snapshot/schemas.js';
import { type Table, row } from './table.js';

/** The table `duties`. */
export const dutiesTable: Table = {
  summary: 'duties with holders, epochs and the leases that voters know',
  sources: [],
  columns: ['duty', 'node', 'epoch', 'voters', 'left'],
  rows: (snapshot) => {
    const best = new Map<string, FleetState['holders'][number]>();
    for (const fleet of snapshot.fleets)
      for (const one of fleet.holders)
        if ((best.get(one.duty)?.epoch ?? -1) < one.epoch) best.set(one.duty, one);
    return [...best.values()]
      .sort((one, two) => (one.duty < two.duty ? -1 : 1))
      .map((one) => {
        const grants = snapshot.fleets.flatMap((fleet) =>
          fleet.voter.grants.filter(
            (grant) => grant.duty === one.duty && grant.epoch === one.epoch && grant.leftMs > 0,
          ),
        );
        return row(
          ['duty', one.duty],
          ['node', one.node],
          ['epoch', one.epoch],
          ['voters', grants.length],
          ['left', Math.max(0, ...grants.map((grant) => grant.leftMs))],
        );
      });
  },
};

/** The table `registries`. */
export const registriesTable: Table = {
  summary: 'registries: what each knows',
  sources: [],
  columns: ['registry', 'touch', 'feed', 'epoch', 'generation', 'purges', 'recovering', 'voters'],
  rows: (snapshot) =>
    snapshot.fleets.map((one) =>
      row(
        ['registry', one.registry],
        ['touch', one.inTouch],
        ['feed', one.feedAgeMs],
        ['epoch', one.epoch],
        ['generation', one.generation],
        ['purges', one.purges.top],
        ['recovering', one.voter.recovering],
        ['voters', one.electorate?.members.map((member) => member.node).join(' ')],
      ),
    ),
};

/** The table `rollouts`. */
export const rolloutsTable: Table = {
  summary: 'rollouts, newest first',
  sources: ['rollouts'],
  columns: ['generation', 'status', 'wave', 'waves', 'troubled', 'targets', 'failed'],
  rows: (snapshot) =>
    (snapshot.stored.rollouts?.rollouts ?? []).map((one) =>
      row(
        ['generation', one.generation],
        ['status', one.status],
        ['wave', one.wave + 1],
        ['waves', one.waves],
        ['troubled', one.troubled],
        ['targets', one.targets.length],
        ['failed', one.targets.filter((target) => target.status === 'failed').length],
      ),
    ),
};

/** The table `targets`. */
export const targetsTable: Table = {
  summary: 'targets of rollouts',
  sources: ['rollouts'],
  columns: ['generation', 'node', 'wave', 'status', 'why'],
  rows: (snapshot) =>
    (snapshot.stored.rollouts?.rollouts ?? []).flatMap((one) =>
      one.targets.map((target) =>
        row(
          ['generation', one.generation],
          ['node', target.node],
          ['wave', target.wave + 1],
          ['status', target.status],
          ['why', target.text],
        ),
      ),
    ),
};

/** The table `purges`. */
export const purgesTable: Table = {
  summary: 'batches of purges that are kept',
  sources: ['purges'],
  columns: ['number', 'aims', 'first'],
  rows: (snapshot) =>
    (snapshot.stored.purges?.purges ?? []).map((one) =>
      row(['number', one.seq], ['aims', one.aims.length], ['first', JSON.stringify(one.aims[0])]),
    ),
};

/** The table `stores`. */
export const storesTable: Table = {
  summary: 'stores: who is in sync',
  sources: ['store'],
  columns: ['store', 'primary', 'inSyncSet', 'epoch', 'entries', 'waiting'],
  rows: (snapshot) => {
    const primary = snapshot.stored.store;
    return (primary?.metadata?.stores ?? []).map((one) =>
      row(
        ['store', one.node],
        ['primary', primary?.store === one.node],
        ['inSyncSet', primary?.metadata?.inSyncSet.includes(one.node)],
        ['epoch', primary?.epoch],
        ['entries', primary?.store === one.node ? primary.entries : null],
        ['waiting', primary?.store === one.node ? primary.waitlist : null],
      ),
    );
  },
};
