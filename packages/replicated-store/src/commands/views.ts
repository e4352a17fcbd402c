/**
 * Views of the stored state for operators. Their JSON is part of the operators' interface.
 */

import { type Timestamp, noGeneration } from '@switchwheel/types';
import { heldEpoch } from '@switchwheel/election';
import { elapsedOf } from '../releases/release-progress.js';
import { type StoreState, ownId } from '../state/state.js';

/** What each view begins with. */
const viewHeader = (state: StoreState): object => ({
  store: ownId(state),
  epoch: heldEpoch(state.candidate),
  stamp: state.logPosition,
  generation: state.control.configuration?.offer.generation ?? noGeneration,
});

/** The last release rollout of a service; undefined if there was none. */
export const viewRelease = (
  state: StoreState,
  service: string,
  now: Timestamp,
): object | undefined => {
  const rollout = [...state.control.releases.values()].find(
    (candidate) => candidate.service === service,
  );
  if (rollout?.target === undefined) return undefined;
  const { target, phase, settled, share, spanMs, text } = rollout;
  return {
    service: rollout.service,
    target,
    phase,
    settled: settled ?? null,
    share,
    spanMs,
    spentMs: Math.round(elapsedOf(state, rollout, now)),
    text,
  };
};

/** What operators may ask of the stored state. */
export const viewState = (state: StoreState, subject: string, now: Timestamp): object => {
  const control = state.control;
  switch (subject) {
    // The offer alone: the registry collects the chunks, as they may not fit one frame.
    case 'description':
      return { ...viewHeader(state), offer: control.configuration?.offer ?? null };
    case 'rollouts':
      return {
        ...viewHeader(state),
        rollouts: [...control.rollouts.values()]
          .sort((first, second) => second.generation - first.generation)
          .map((rollout) => ({
            ...rollout,
            targets: [...control.targets.values()].filter(
              (target) => target.generation === rollout.generation,
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
        peers: [...state.peers.values()].map((peer) => ({
          node: peer.node,
          stamp: peer.logPosition,
          epoch: peer.metadata?.epoch ?? null,
          ageMs: Math.round(now - peer.heardAt),
        })),
      };
  }
};
