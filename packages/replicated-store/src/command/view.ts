import { type Timestamp, noGeneration } from '@switchwheel/types';
import { heldEpoch } from '@switchwheel/election';
import { spentOf } from '../release/release.js';
import { type Store, ownId } from '../state/state.js';

const about = (state: Store): object => ({
  store: ownId(state),
  epoch: heldEpoch(state.candidate),
  stamp: state.stamp,
  generation: state.control.stored?.offer.generation ?? noGeneration,
});

/** The last order of a service, or nothing if there was none. */
export const viewRelease = (state: Store, service: string, now: Timestamp): object | undefined => {
  const found = [...state.control.releases.values()].find((one) => one.service === service);
  if (found?.target === undefined) return undefined;
  const { target, phase, settled, share, spanMs, text } = found;
  return {
    service: found.service,
    target,
    phase,
    settled: settled ?? null,
    share,
    spanMs,
    spentMs: Math.round(spentOf(state, found, now)),
    text,
  };
};

/** What operators may ask of the stored state. */
export const view = (state: Store, what: string, now: Timestamp): object => {
  const control = state.control;
  switch (what) {
    // The offer alone: the registry that asks collects its pieces, as they may not fit one frame.
    case 'description':
      return { ...about(state), offer: control.stored?.offer ?? null };
    case 'rollouts':
      return {
        ...about(state),
        rollouts: [...control.rollouts.values()]
          .sort((one, two) => two.generation - one.generation)
          .map((one) => ({
            ...one,
            targets: [...control.targets.values()].filter(
              (row) => row.generation === one.generation,
            ),
          })),
      };
    case 'nodes':
      return {
        ...about(state),
        nodes: [...control.nodes].map(([node, row]) => ({ node, ...row })),
      };
    case 'purges':
      return { ...about(state), purges: control.purges };
    case 'verdicts':
      return { ...about(state), verdicts: [...control.verdicts.values()] };
    case 'releases':
      return { ...about(state), releases: [...control.releases.values()] };
    default:
      return {
        ...about(state),
        metadata: state.metadata ?? null,
        entries: state.table.size,
        waitlist: state.commandQueue.length,
        diskFullMs: state.diskFull === undefined ? null : Math.round(now - state.diskFull),
        peers: [...state.peers.values()].map((one) => ({
          node: one.node,
          stamp: one.stamp,
          epoch: one.metadata?.epoch ?? null,
          ageMs: Math.round(now - one.at),
        })),
      };
  }
};
