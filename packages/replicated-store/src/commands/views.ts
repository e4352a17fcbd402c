/**
 * Views of the stored state for operators. Their JSON is part of the operators' interface.
 */

import { type Timestamp, noGeneration } from '@switchwheel/types';
import { heldEpoch } from '@switchwheel/election';
import { elapsedOf } from '../releases/release-progress.js';
import { type StoreState, ownId } from '../state/state.js';

const viewHeader = (state: StoreState): object => ({
  store: ownId(state),
  epoch: heldEpoch(state.candidate),
  stamp: state.stamp,
  generation: state.control.configuration?.offer.generation ?? noGeneration,
});

/** The last order of a service, or nothing if there was none. */
export const viewRelease = (
  state: StoreState,
  service: string,
  now: Timestamp,
): object | undefined => {
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
    spentMs: Math.round(elapsedOf(state, found, now)),
    text,
  };
};

/** What operators may ask of the stored state. */
export const viewState = (state: StoreState, subject: string, now: Timestamp): object => {
  const control = state.control;
  switch (subject) {
    // The offer alone: the registry that asks collects its pieces, as they may not fit one frame.
    case 'description':
      return { ...viewHeader(state), offer: control.configuration?.offer ?? null };
    case 'rollouts':
      return {
        ...viewHeader(state),
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
        ...viewHeader(state),
        nodes: [...control.nodes].map(([node, row]) => ({ node, ...row })),
      };
    case 'purges':
      return { ...viewHeader(state), purges: control.purges };
    case 'verdicts':
      return { ...viewHeader(state), verdicts: [...control.canaryResults.values()] };
    case 'releases':
      return { ...viewHeader(state), releases: [...control.releases.values()] };
    default:
      return {
        ...viewHeader(state),
        metadata: state.metadata ?? null,
        entries: state.table.size,
        waitlist: state.commandQueue.length,
        diskFullMs: state.diskFullAt === undefined ? null : Math.round(now - state.diskFullAt),
        peers: [...state.peers.values()].map((one) => ({
          node: one.node,
          stamp: one.stamp,
          epoch: one.metadata?.epoch ?? null,
          ageMs: Math.round(now - one.heardAt),
        })),
      };
  }
};
