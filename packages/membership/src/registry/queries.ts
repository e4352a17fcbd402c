import {
  type Address,
  type Timestamp,
  elapsedMs,
  noGeneration,
  primaryLease,
  toDurationMs,
} from '@switchwheel/types';
import {
  type Electorate,
  type FrameOf,
  type LeaseHolder,
  type Member,
  type NodeStatus,
  type SessionRecord,
  type ProcessEffect,
  send,
} from '@switchwheel/transport';
import { quorumSize, grantRecords } from '@switchwheel/election';
import { originRecords } from '../origins/origins.js';
import type { KnownSession, RegistryState } from './state.js';

/** How long a session stands without a word of its node. */
export const sessionTimeoutMs = 1500;
/** How old a registry's word of the primary may be to count. */
export const freshnessLimitMs = 1200;

export const isAlive = (one: KnownSession, now: Timestamp): boolean =>
  one.open && now - one.lastHeardAt < sessionTimeoutMs;

export const emptyReport = (ready: boolean): NodeStatus => ({
  generation: noGeneration,
  phase: 'none',
  ready,
  health: { name: 'process', healthy: true, text: '', parts: [] },
});

const sessionRecord = (one: KnownSession, now: Timestamp): SessionRecord => ({
  member: one.member,
  report: one.report,
  registry: one.registry,
  seq: one.seq,
  age: elapsedMs(one.lastHeardAt, now),
  open: one.open,
});

/** Every node in touch, this registry and its peers among them. */
export const liveMembers = (state: RegistryState, now: Timestamp): Member[] => [
  state.member,
  ...[...state.sessions.values()].filter((one) => isAlive(one, now)).map((one) => one.member),
];

export const peerAddresses = (state: RegistryState, now: Timestamp): readonly Address[] => {
  const known = [...state.sessions.values()]
    .filter((one) => one.member.role === 'registry' && now - one.lastHeardAt < 60_000)
    .map((one) => one.member.address);
  const seated = state.electorate?.members.map((one) => one.address) ?? [];
  return [...new Set([...known, ...seated, ...state.seeds])].filter(
    (one) => one !== state.member.address,
  );
};

/**
 * Whether this registry and a majority of the electorate hear each other: each of them showed that
 * it has a gossip of this registry that is younger than the limit. A way that is cut in one
 * direction is no contact.
 */
export const hasMajorityContact = (
  state: RegistryState,
  now: Timestamp,
  limit = freshnessLimitMs,
): boolean => {
  const set: Electorate | undefined = state.electorate;
  if (set === undefined) return true;
  const near = set.members.filter(
    (one) =>
      one.node === state.member.node ||
      now - (state.peers.get(one.node)?.gossipEchoedAt ?? -Infinity) < limit,
  );
  return near.length >= quorumSize(set.members.length);
};

/** By how much a peer's word of the primary must be newer: a dead primary falls silent for all at once. */
const silenceMarginMs = 500;

/** Whether a peer hears a primary that this registry does not hear any more. */
export const onlyPeersHearPrimary = (state: RegistryState): boolean => {
  const own = state.feed.asOf ?? -Infinity;
  return [...state.peers.values()].some(
    (one) => one.primaryAsOf !== undefined && one.primaryAsOf > own + silenceMarginMs,
  );
};

const feedAgeField = (state: RegistryState, now: Timestamp): Pick<FrameOf<'gossip'>, 'feedAge'> => {
  const age = feedAgeMs(state, now);
  return age === undefined ? {} : { feedAge: age };
};

export const gossipFrame = (state: RegistryState, now: Timestamp): FrameOf<'gossip'> => ({
  kind: 'gossip',
  from: state.member,
  full: true,
  at: now,
  sessions: [...state.sessions.values()]
    .filter((one) => now - one.lastHeardAt < 30_000)
    .map((one) => sessionRecord(one, now)),
  origins: originRecords(state.origins, now),
  holders: [...state.holders.values()],
  memories: [...grantRecords(state.voter)],
  recovering: state.voter.isRecovering,
  heard: [...state.peers].map(([node, one]) => ({
    node,
    incarnation: one.incarnation,
    at: one.gossipSentAt,
  })),
  ...feedAgeField(state, now),
});

export const memberListFrame = (state: RegistryState, now: Timestamp): FrameOf<'member-list'> => ({
  kind: 'member-list',
  members: liveMembers(state, now),
  origins: originRecords(state.origins, now),
  holders: [...state.holders.values()],
});

/** The nodes that news goes to at once: those with a session here, and every shield. */
export const broadcastTargets = (state: RegistryState, now: Timestamp): readonly Address[] =>
  [...state.sessions.values()]
    .filter(
      (one) =>
        isAlive(one, now) &&
        one.member.role !== 'registry' &&
        (one.registry === state.member.node || one.member.role === 'shield'),
    )
    .map((one) => one.member.address);

/** Tells nodes of the whole fleet. */
export const sendMemberList = (
  state: RegistryState,
  to: readonly Address[],
  now: Timestamp,
): readonly ProcessEffect[] => {
  const word = memberListFrame(state, now);
  return to.map((one) => send(one, word));
};

export const broadcast = (state: RegistryState, now: Timestamp): readonly ProcessEffect[] => {
  const inner = gossipFrame(state, now);
  return [
    ...sendMemberList(state, broadcastTargets(state, now), now),
    ...peerAddresses(state, now).map((to) => send(to, inner)),
  ];
};

export const primaryHolder = (state: RegistryState): LeaseHolder | undefined =>
  state.holders.get(primaryLease);

/** How old this registry's word of the primary is, where it may be handed out: only in touch with the majority. */
export const servableFeedAgeMs = (
  state: RegistryState,
  now: Timestamp,
): ReturnType<typeof feedAgeMs> =>
  hasMajorityContact(state, now) ? feedAgeMs(state, now) : undefined;

export const feedAgeMs = (
  state: RegistryState,
  now: Timestamp,
): ReturnType<typeof toDurationMs> | undefined => {
  const asOf = state.feed.asOf;
  if (asOf === undefined) return undefined;
  const age = now - asOf;
  return age < freshnessLimitMs ? toDurationMs(age) : undefined;
};
