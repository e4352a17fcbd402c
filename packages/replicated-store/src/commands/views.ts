/**
 * Operators' views of the stored state. Their JSON is part of the operators' interface.
 */

import { type Timestamp, noGeneration } from '@switchwheel/types';
import { heldEpoch } from '@switchwheel/election';
import { rolloutElapsedMs } from '../releases/release-progress.js';
import { type StoreState, ownId } from '../state/state.js';

/** Fields that every view starts with. */
const viewHeader = (state: StoreState): object => ({
  store: ownId(state),
  epoch: heldEpoch(state.candidate),
  stamp: state.logPosition,
  generation: state.control.configuration?.offer.generation ?? noGeneration,
});

/** View of the last release rollout of a service; undefined if there was none. */
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
    spentMs: Math.round(rolloutElapsedMs(state, rollout, now)),
    text,
  };
};

/** View of the stored state for a subject; an unknown subject gives the view of the store itself. */
export const viewState = (state: StoreState, subject: string, now: Timestamp): object => {
  const control = state.control;
  switch (subject) {
    // Only the manifest: the registry collects the chunks, as they may not fit into one frame.
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
