import { type Moment, nextSeq } from '@switchwheel/types';
import type { Electorate } from '@switchwheel/transport';
import { majority } from '@switchwheel/election';
import type { Store } from '../state/state.js';

/** How long a registry is in touch without a break before it becomes a voter. */
const steadyTime = 3000;
/** How long a voter is out of touch before another may take its seat. */
const deadAfter = 15_000;
/** How long a change of the electorate has to spread before the next one. */
const changeInterval = 3000;
const contactLimit = 1000;
const minElectorate = 3;

/** The electorate with one change that follows the registries in touch, if one is due. */
export const nextElectorate = (state: Store, now: Moment): Electorate | undefined => {
  const set = state.metadata?.electorate;
  const own = state.candidate.phase;
  if (
    set === undefined ||
    own.phase !== 'holdingLease' ||
    now - Math.max(own.won, state.electorateChangedAt) < changeInterval
  )
    return undefined;
  const near = (node: Electorate['members'][number]['node']): boolean =>
    now - (state.subscribers.get(node)?.at ?? -Infinity) < contactLimit;
  const lost = set.members.filter(
    (one) => now - Math.max(state.subscribers.get(one.node)?.at ?? 0, own.won) >= deadAfter,
  );
  // An even electorate bears no more losses than one with a seat less; with more than one lost each seat less helps.
  const spare =
    set.members.length > minElectorate && (set.members.length % 2 === 0 || lost.length > 1)
      ? lost[0]
      : undefined;
  const fresh = [...state.subscribers].find(
    ([node, one]) =>
      near(node) && now - one.since >= steadyTime && !set.members.some((row) => row.node === node),
  );
  const members =
    spare !== undefined
      ? set.members.filter((one) => one !== spare)
      : fresh !== undefined
        ? [...set.members, { node: fresh[0], address: fresh[1].address }]
        : undefined;
  if (
    members === undefined ||
    members.filter((one) => near(one.node)).length < majority(members.length)
  )
    return undefined;
  return { serial: nextSeq(set.serial), members };
};
