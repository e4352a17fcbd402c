/**
 * Questions about a registry's state that several of its parts ask: who is alive, whether the
 * majority is in contact, how fresh the primary's feed is. Nothing here changes the state.
 */

import {
  type Address,
  type DurationMs,
  type Timestamp,
  noGeneration,
  primaryLease,
  toDurationMs,
} from '@switchwheel/types';
import type { LeaseHolder, Member, NodeStatus } from '@switchwheel/transport';
import { quorumSize } from '@switchwheel/election';
import type { KnownSession, RegistryState } from './state.js';

/** How long a session stays alive without a heartbeat. */
export const sessionTimeoutMs = 1500;
/** How old the primary's feed, or a peer's echo, may be to count as contact. */
export const freshnessLimitMs = 1200;
/** How long another registry that fell silent still gets gossip. */
const peerRetentionMs = 60_000;
/** By how much a peer's feed must be newer: a dead primary falls silent for all at once. */
const silenceMarginMs = 500;

/** Whether a session is open and its node was heard in time. */
export const isAlive = (session: KnownSession, now: Timestamp): boolean =>
  session.open && now - session.lastHeardAt < sessionTimeoutMs;

/** The status of a node that runs no configuration. */
export const emptyReport = (ready: boolean): NodeStatus => ({
  generation: noGeneration,
  phase: 'none',
  ready,
  health: { name: 'process', healthy: true, text: '', parts: [] },
});

/** Every live node, this registry and its peers among them. */
export const liveMembers = (state: RegistryState, now: Timestamp): Member[] => [
  state.member,
  ...[...state.sessions.values()]
    .filter((session) => isAlive(session, now))
    .map((session) => session.member),
];

/** The other registries: those met, those with a vote, and the seeds. */
export const peerAddresses = (state: RegistryState, now: Timestamp): readonly Address[] => {
  const met = [...state.sessions.values()]
    .filter(
      (session) =>
        session.member.role === 'registry' && now - session.lastHeardAt < peerRetentionMs,
    )
    .map((session) => session.member.address);
  const voters = state.electorate?.members.map((voter) => voter.address) ?? [];
  return [...new Set([...met, ...voters, ...state.seeds])].filter(
    (address) => address !== state.member.address,
  );
};

/**
 * Whether this registry and a majority of the electorate hear each other: each of them showed that
 * it has a gossip of this registry that is younger than the limit. A link that is cut in one
 * direction is no contact. True while no electorate is known.
 */
export const hasMajorityContact = (
  state: RegistryState,
  now: Timestamp,
  limitMs = freshnessLimitMs,
): boolean => {
  const { electorate } = state;
  if (electorate === undefined) return true;
  const inContact = electorate.members.filter(
    (voter) =>
      voter.node === state.member.node ||
      now - (state.peers.get(voter.node)?.gossipEchoedAt ?? -Infinity) < limitMs,
  );
  return inContact.length >= quorumSize(electorate.members.length);
};

/** Whether a peer hears a primary that this registry does not hear any more. */
export const onlyPeersHearPrimary = (state: RegistryState): boolean => {
  const own = state.feed.asOf ?? -Infinity;
  return [...state.peers.values()].some(
    (peer) => peer.primaryAsOf !== undefined && peer.primaryAsOf > own + silenceMarginMs,
  );
};

/** The store that holds the primary's lease, as far as this registry knows. */
export const primaryHolder = (state: RegistryState): LeaseHolder | undefined =>
  state.holders.get(primaryLease);

/** The age of the primary's feed; undefined if there is none or it is too old to count. */
export const feedAgeMs = (state: RegistryState, now: Timestamp): DurationMs | undefined => {
  const { asOf } = state.feed;
  if (asOf === undefined) return undefined;
  const age = now - asOf;
  return age < freshnessLimitMs ? toDurationMs(age) : undefined;
};

/** The age of the feed where it may be passed on to nodes: only in contact with the majority. */
export const servableFeedAgeMs = (state: RegistryState, now: Timestamp): DurationMs | undefined =>
  hasMajorityContact(state, now) ? feedAgeMs(state, now) : undefined;
