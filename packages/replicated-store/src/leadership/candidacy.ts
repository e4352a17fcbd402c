import {
  type Timestamp,
  type Transition,
  noEpoch,
  transition,
  toTimestamp,
} from '@switchwheel/types';
import type { ClusterMetadata, Electorate, Holder, WireEffect } from '@switchwheel/transport';
import { type ElectionContext, holdsLease, stepDown } from '@switchwheel/election';
import { type PeerStatus, type Store, noStamp, ownId } from '../state/state.js';
import { newerStamp, sameStamp } from '../table/table.js';
import { backupTimeout, chooseCopies } from './copies.js';

/** How fresh a peer's consent must be. */
const evidenceLimit = 500;
/** How long the primary must be silent before a backup stands. */
export const primaryTimeout = 700;
/** How much longer each backup waits than the one before it, so that not all stand at once. */
const standDelayPerRank = 40;
/** How much longer a learner waits than the backups before it asks whether it was promoted. */
const learnerStandDelay = 300;
/** How long a store without voters that remember waits for those of its in-sync set that do not speak. */
const silentPeerTimeout = 1400;
/** How long it waits for others to speak up when one of its in-sync set has lost its disk. */
const lostDiskWait = 1000;

export const isPrimary = (state: Store, now: Timestamp): boolean =>
  state.serving && holdsLease(state.candidate, now);

/** Whether the table is the state at its stamp: while a resync changes it there is no such stamp. */
const isClean = (state: Store): boolean => !sameStamp(state.stamp, noStamp);

/** Whether this store holds every confirmed write, as far as it knows. */
export const inSync = (state: Store): boolean =>
  state.metadata !== undefined &&
  isClean(state) &&
  state.metadata.inSyncSet.includes(ownId(state)) &&
  state.excludedAtEpoch <= state.metadata.epoch;

type PeerEvidence = 'same' | 'later' | 'empty' | 'silent';

/** What a peer's record says of holdings after this store's own metadata. */
const evidenceOf = (
  state: Store,
  metadata: ClusterMetadata,
  word: PeerStatus | undefined,
  now: Timestamp,
): PeerEvidence => {
  if (word === undefined || now - word.at >= evidenceLimit) return 'silent';
  if (word.metadata === undefined) return 'empty';
  if (word.metadata.fleet !== metadata.fleet) return 'silent';
  return word.metadata.epoch > metadata.epoch || newerStamp(word.stamp, state.stamp)
    ? 'later'
    : 'same';
};

/** Whether a store is heard that belongs to a later holding without this one. */
const newerPrimaryHeard = (state: Store, metadata: ClusterMetadata, now: Timestamp): boolean =>
  [...state.peers.values()].some(
    (word) =>
      now - word.at < silentPeerTimeout &&
      word.metadata?.fleet === metadata.fleet &&
      word.metadata.epoch > metadata.epoch &&
      !word.metadata.inSyncSet.includes(ownId(state)),
  );

/** Whether no later holding can have confirmed anything without this store, as far as records tell: then it needs no voter that remembers. */
const survivorsProveNoNewerPrimary = (
  state: Store,
  metadata: ClusterMetadata,
  now: Timestamp,
): boolean => {
  const others = metadata.inSyncSet
    .filter((one) => one !== ownId(state))
    .map((one) => {
      const word = state.peers.get(one);
      return {
        tells: evidenceOf(state, metadata, word, now),
        heard: Math.max(word?.at ?? state.startedAt, state.startedAt),
      };
    });
  if (newerPrimaryHeard(state, metadata, now)) return false;
  if (others.every((one) => one.tells === 'same')) return true;
  if (
    metadata.epoch === noEpoch ||
    others.some((one) => one.tells === 'later') ||
    now - state.startedAt < lostDiskWait
  )
    return false;
  // A disk that is lost tells nothing ever again; one that is silent can have gone on only if it lost all who speak at once.
  const silent = others.filter((one) => one.tells === 'silent');
  const same = 1 + others.filter((one) => one.tells === 'same').length;
  return (
    silent.length === 0 ||
    (same > state.settings.tolerate && silent.every((one) => now - one.heard >= silentPeerTimeout))
  );
};

export const electionContext = (
  state: Store,
  metadata: ClusterMetadata,
  now: Timestamp,
): ElectionContext => {
  const known = state.session.electorate;
  const electorate: Electorate =
    known !== undefined && known.serial > metadata.electorate.serial ? known : metadata.electorate;
  const held: Holder = {
    duty: state.candidate.duty,
    epoch: metadata.epoch,
    node: ownId(state),
    address: state.session.member.address,
  };
  return {
    fleet: metadata.fleet,
    electorate,
    held,
    countRecovering: inSync(state) && survivorsProveNoNewerPrimary(state, metadata, now),
  };
};

/** The stores in sync that are in touch, whose disks take writes, and that do not leave. */
export const reachableInSync = (
  state: Store,
  now: Timestamp,
  leavingToo = false,
): ClusterMetadata['inSyncSet'] =>
  (state.metadata?.inSyncSet ?? []).filter((one) => {
    const word = state.peers.get(one);
    return (
      one === ownId(state) ||
      (word?.metadata !== undefined &&
        word.metadata.fleet === state.metadata?.fleet &&
        !word.full &&
        (leavingToo || !word.leaving) &&
        now - word.at < backupTimeout)
    );
  });

/** The stores to stand with: those in sync that are in touch, no more than copies are wanted. */
export const chooseBackups = (state: Store, now: Timestamp): ClusterMetadata['inSyncSet'] => {
  const own = [ownId(state)];
  // What a promoted learner knows of the others is older than the epoch that names it.
  if (!inSync(state)) return own;
  return [...chooseCopies(state, own, reachableInSync(state, now))];
};

/**
 * Whether this store may be in sync without knowing it: a primary had an epoch granted whose set
 * names it, and died before the metadata came here. The voters know; they grant nothing to others.
 */
const mayBePromoted = (state: Store): boolean =>
  state.metadata !== undefined && !inSync(state) && isClean(state);

/** Whether this store may and should stand for the duty. */
export const wantsElection = (state: Store, now: Timestamp): boolean => {
  if (state.phase !== 'member' || now < state.standDownUntil) return false;
  if (!inSync(state) && !mayBePromoted(state)) return false;
  const rank = [...reachableInSync(state, now)].sort().indexOf(ownId(state));
  const delay = rank >= 0 && inSync(state) ? standDelayPerRank * rank : learnerStandDelay;
  return (
    state.backupWrite === undefined &&
    state.primaryWrite === undefined &&
    now - state.primaryHeardAt > primaryTimeout + delay
  );
};

/** Gives the duty up for a while. */
export const resignFor = (
  state: Store,
  rest: number,
  now: Timestamp,
): Transition<Store, WireEffect> => {
  const given = stepDown(
    state.candidate,
    state.metadata === undefined ? undefined : electionContext(state, state.metadata, now),
    now,
    0,
  );
  return transition(
    { ...state, candidate: given.state, standDownUntil: toTimestamp(now + rest) },
    ...given.effects,
  );
};
