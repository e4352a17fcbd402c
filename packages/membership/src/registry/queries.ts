/**
 * Queries of a registry's state: live members, contact with the majority, and the age of the
 * primary's feed.
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

/** Time without a heartbeat after which a session is no longer alive. */
export const nodeSessionTimeoutMs = 1500;
/** Maximum age of the primary's feed, or of a peer's echo, to count as contact. */
export const freshnessLimitMs = 1200;
/** Time for which a silent registry still gets gossip. */
const peerRetentionMs = 60_000;
/** Lead by which a peer's feed must be newer; the feeds of all registries end together when the primary fails. */
const feedLeadMs = 500;

/** Whether a session is open and its node has sent a heartbeat in time. */
export const isAlive = (session: KnownSession, now: Timestamp): boolean =>
  session.open && now - session.lastHeardAt < nodeSessionTimeoutMs;

/** Status of a node that runs no configuration. */
export const emptyReport = (ready: boolean): NodeStatus => ({
  generation: noGeneration,
  phase: 'none',
  ready,
  health: { name: 'process', healthy: true, text: '', parts: [] },
});

/** All live members of the fleet, including this registry and its peers. */
export const liveMembers = (state: RegistryState, now: Timestamp): Member[] => [
  state.member,
  ...[...state.sessions.values()]
    .filter((session) => isAlive(session, now))
    .map((session) => session.member),
];

/** Addresses of the other registries: those with a session, the voters, and the seeds. */
export const peerAddresses = (state: RegistryState, now: Timestamp): readonly Address[] => {
  const withSession = [...state.sessions.values()]
    .filter(
      (session) =>
        session.member.role === 'registry' && now - session.lastHeardAt < peerRetentionMs,
    )
    .map((session) => session.member.address);
  const voters = state.electorate?.members.map((voter) => voter.address) ?? [];
  return [...new Set([...withSession, ...voters, ...state.seeds])].filter(
    (address) => address !== state.member.address,
  );
};

/**
 * Whether this registry has two-way contact with a majority of the electorate: each of them has echoed
 * a gossip of this registry that is younger than the limit, so a link that is down in one direction
 * does not count. True while no electorate is known.
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

/** Whether a peer has a newer feed of the primary than this registry, by more than `feedLeadMs`. */
export const onlyPeersHearPrimary = (state: RegistryState): boolean => {
  const ownAsOf = state.feed.asOf ?? -Infinity;
  return [...state.peers.values()].some(
    (peer) => peer.primaryAsOf !== undefined && peer.primaryAsOf > ownAsOf + feedLeadMs,
  );
};

/** Store that holds the primary's lease, as far as this registry knows. */
export const primaryHolder = (state: RegistryState): LeaseHolder | undefined =>
  state.holders.get(primaryLease);

/** Age of the primary's feed; undefined if there is none or it is older than `freshnessLimitMs`. */
export const feedAgeMs = (state: RegistryState, now: Timestamp): DurationMs | undefined => {
  const { asOf } = state.feed;
  if (asOf === undefined) return undefined;
  const age = now - asOf;
  return age < freshnessLimitMs ? toDurationMs(age) : undefined;
};

/** Age of the feed if it may be passed on to nodes; undefined also without contact with the majority. */
export const servableFeedAgeMs = (state: RegistryState, now: Timestamp): DurationMs | undefined =>
  hasMajorityContact(state, now) ? feedAgeMs(state, now) : undefined;
