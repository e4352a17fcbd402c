/**
 * A node's side of its session with a registry: heartbeats, failover to a registry with a fresh feed
 * of the primary, and the fleet state that the node receives. The node agent handles configurations
 * and leases.
 */

import {
  type Address,
  type RandomState,
  type LeaseName,
  type Epoch,
  type FleetId,
  type Timestamp,
  type Seq,
  type Transition,
  prependEffects,
  nextSeq,
  noEpoch,
  noSeq,
  withEntry,
  nextRandom,
  clockOrigin,
  transition,
  toTimestamp,
} from '@switchwheel/types';
import {
  type Peer,
  type Electorate,
  type FrameOf,
  type LeaseHolder,
  type Member,
  type NodeStatus,
  type ProcessEffect,
  log,
  send,
} from '@switchwheel/transport';
import { type OriginTable, forgetOrigins, learnOrigins } from '../origins/origins.js';

/** Interval between a node's heartbeats to its registry. */
export const heartbeatIntervalMs = 250;
/** Time without a reply after which a node switches to another registry. */
export const registryTimeoutMs = 700;
/** Time with a stale feed after which a node switches to another registry; also the minimum time between such switches. */
const staleTimeoutMs = 500;
/** Time without a reply of any registry after which the node counts as disconnected. */
const registryContactTimeoutMs = 1200;
/** Interval between probes of other registries while the feed of the node's own is stale. */
const probeIntervalMs = 250;
/** Number of registries per probe. */
const probeWidth = 3;

type SessionTransition = Transition<NodeSession, ProcessEffect>;

interface RegistryLink {
  readonly address: Address;
  readonly connectedAt: Timestamp;
  readonly lastHeardAt: Timestamp | undefined;
  /** Time since which the registry has no fresh feed of the primary; undefined while it has one. */
  readonly staleSince: Timestamp | undefined;
}

/** A node's side of its session, with the fleet state that it has received. */
export interface NodeSession {
  readonly member: Member;
  readonly seeds: readonly Address[];
  readonly registryLink: RegistryLink | undefined;
  readonly heartbeatSentAt: Timestamp;
  /** Time of the last probe of other registries. */
  readonly probedAt: Timestamp;
  /** Index, among the other registries, of the next one to probe. */
  readonly nextProbeIndex: number;
  /** Time of the last reply of any registry: a session continues when the registry changes. */
  readonly registryHeardAt: Timestamp;
  readonly seq: Seq;
  readonly members: readonly Member[];
  readonly origins: OriginTable;
  readonly leaseHolders: ReadonlyMap<LeaseName, LeaseHolder>;
  readonly electorate: Electorate | undefined;
  readonly fleet: FleetId | undefined;
  readonly randomState: RandomState;
}

/** Creates a session that has not chosen a registry yet. */
export const newNodeSession = (
  member: Member,
  seeds: readonly Address[],
  randomState: RandomState,
): NodeSession => ({
  member,
  seeds,
  registryLink: undefined,
  heartbeatSentAt: clockOrigin,
  probedAt: toTimestamp(-probeIntervalMs),
  nextProbeIndex: 0,
  registryHeardAt: clockOrigin,
  seq: noSeq,
  members: [],
  origins: new Map(),
  leaseHolders: new Map(),
  electorate: undefined,
  fleet: undefined,
  randomState,
});

/** Addresses of all registries that this node knows: those in the member list, then the seeds. */
export const knownRegistries = (nodeSession: NodeSession): readonly Address[] => {
  const listedAddresses = nodeSession.members
    .filter((member) => member.role === 'registry')
    .map((member) => member.address);
  return [...new Set([...listedAddresses, ...nodeSession.seeds])];
};

const switchRegistry = (nodeSession: NodeSession, now: Timestamp): NodeSession => {
  const others = knownRegistries(nodeSession).filter(
    (address) => address !== nodeSession.registryLink?.address,
  );
  const candidates = others.length > 0 ? others : knownRegistries(nodeSession);
  const [fraction, randomState] = nextRandom(nodeSession.randomState);
  const address = candidates[Math.floor(fraction * candidates.length)];
  return {
    ...nodeSession,
    randomState,
    registryLink:
      address === undefined
        ? undefined
        : { address, connectedAt: now, lastHeardAt: undefined, staleSince: undefined },
  };
};

const isSilent = (registryLink: RegistryLink, now: Timestamp): boolean =>
  now - (registryLink.lastHeardAt ?? registryLink.connectedAt) > registryTimeoutMs;

/** Whether the registry's feed has been stale for too long and there is another registry to switch to. */
const isStale = (nodeSession: NodeSession, registryLink: RegistryLink, now: Timestamp): boolean =>
  registryLink.staleSince !== undefined &&
  now - registryLink.staleSince > staleTimeoutMs &&
  now - registryLink.connectedAt >= staleTimeoutMs &&
  knownRegistries(nodeSession).some((address) => address !== registryLink.address);

/** Whether any registry has replied within the session timeout. */
export const isConnected = (nodeSession: NodeSession, now: Timestamp): boolean =>
  nodeSession.registryHeardAt > clockOrigin &&
  now - nodeSession.registryHeardAt < registryContactTimeoutMs;

/** Highest epoch of a lease that this node knows of. */
export const highestEpoch = (nodeSession: NodeSession, lease: LeaseName): Epoch =>
  nodeSession.leaseHolders.get(lease)?.epoch ?? noEpoch;

/** State of a node that it reports in its heartbeats. */
export interface HeartbeatContent {
  readonly report: NodeStatus;
  readonly heldLeases: readonly LeaseHolder[];
  readonly latestPurge: Seq;
  readonly isLeaving: boolean;
  /** Digest of the release records that the node has; undefined to request all. */
  readonly releasesDigest?: string | undefined;
}

const heartbeatTo = (
  nodeSession: NodeSession,
  address: Address,
  content: HeartbeatContent,
  now: Timestamp,
): SessionTransition => {
  const seq = nextSeq(nodeSession.seq);
  return transition(
    { ...nodeSession, seq },
    send(address, {
      kind: 'heartbeat',
      member: nodeSession.member,
      seq,
      at: now,
      report: content.report,
      bye: content.isLeaving,
      held: [...content.heldLeases],
      purged: content.latestPurge,
      ...(content.releasesDigest === undefined ? {} : { releases: content.releasesDigest }),
    }),
  );
};

/** Sends a heartbeat to this node's registry; does nothing while it has none. */
export const sendHeartbeat = (
  nodeSession: NodeSession,
  content: HeartbeatContent,
  now: Timestamp,
): SessionTransition =>
  nodeSession.registryLink === undefined
    ? transition(nodeSession)
    : heartbeatTo(
        { ...nodeSession, heartbeatSentAt: now },
        nodeSession.registryLink.address,
        content,
        now,
      );

/** Whether this node's registry has a fresh feed of the primary, by its last reply. */
const followsPrimary = (nodeSession: NodeSession, now: Timestamp): boolean => {
  const link = nodeSession.registryLink;
  return (
    link?.lastHeardAt !== undefined &&
    link.staleSince === undefined &&
    now - link.lastHeardAt < registryTimeoutMs
  );
};

/**
 * Sends heartbeats to other registries too while the feed of this node's own is stale, so that failover
 * from a registry that is down, partitioned or without a majority takes one round trip.
 */
const probeOtherRegistries = (
  nodeSession: NodeSession,
  content: HeartbeatContent,
  now: Timestamp,
): SessionTransition => {
  if (followsPrimary(nodeSession, now) || now - nodeSession.probedAt < probeIntervalMs)
    return transition(nodeSession);
  const others = knownRegistries(nodeSession).filter(
    (address) => address !== nodeSession.registryLink?.address,
  );
  const width = Math.min(probeWidth, others.length);
  const probed = Array.from(
    { length: width },
    (_, offset) => (nodeSession.nextProbeIndex + offset) % others.length,
  );
  let next: SessionTransition = transition({
    ...nodeSession,
    probedAt: now,
    nextProbeIndex: nodeSession.nextProbeIndex + width,
  });
  for (const index of probed) {
    const address = others[index];
    if (address === undefined) continue;
    next = prependEffects(next.effects, heartbeatTo(next.state, address, content, now));
  }
  return next;
};

/** Handles a tick: sends due heartbeats, and probes other registries while the own one has no fresh feed. */
export const tickSession = (
  nodeSession: NodeSession,
  content: HeartbeatContent,
  now: Timestamp,
): SessionTransition => {
  const ticked = tickOwnRegistry(nodeSession, content, now);
  return prependEffects(ticked.effects, probeOtherRegistries(ticked.state, content, now));
};

/** Sends a heartbeat when it is due; switches registries when the current one is silent or stale. */
const tickOwnRegistry = (
  nodeSession: NodeSession,
  content: HeartbeatContent,
  now: Timestamp,
): SessionTransition => {
  if (nodeSession.registryLink === undefined || isSilent(nodeSession.registryLink, now)) {
    const warnings =
      nodeSession.registryLink?.lastHeardAt === undefined
        ? []
        : [
            log('warn', 'registry heartbeat timed out, reconnecting', [
              'registry',
              nodeSession.registryLink.address,
            ]),
          ];
    const switched = switchRegistry(nodeSession, now);
    return prependEffects(warnings, sendHeartbeat(switched, content, now));
  }
  // The next registry continues the session.
  if (isStale(nodeSession, nodeSession.registryLink, now))
    return sendHeartbeat(switchRegistry(nodeSession, now), content, now);
  return now - nodeSession.heartbeatSentAt >= heartbeatIntervalMs
    ? sendHeartbeat(nodeSession, content, now)
    : transition(nodeSession);
};

/** Handles the end of a connection: switches registries at once if it was the current registry's. */
export const onRegistryLost = (
  nodeSession: NodeSession,
  address: Address,
  now: Timestamp,
): NodeSession =>
  nodeSession.registryLink?.address === address ? switchRegistry(nodeSession, now) : nodeSession;

/** Records a lease holder if its epoch is newer than the known one. */
export const learnHolder = (
  holders: ReadonlyMap<LeaseName, LeaseHolder>,
  holder: LeaseHolder,
): ReadonlyMap<LeaseName, LeaseHolder> => {
  const currentHolder = holders.get(holder.duty);
  return currentHolder !== undefined && currentHolder.epoch >= holder.epoch
    ? holders
    : withEntry(holders, holder.duty, holder);
};

/** Applies a registry's member list; members are taken only from this node's own registry. */
export const applyMemberList = (
  nodeSession: NodeSession,
  from: Peer,
  frame: FrameOf<'member-list'>,
  now: Timestamp,
): NodeSession => {
  const isOwnRegistry = nodeSession.registryLink?.address === from.address;
  return {
    ...nodeSession,
    members: isOwnRegistry ? frame.members : nodeSession.members,
    origins: forgetOrigins(learnOrigins(nodeSession.origins, frame.origins, now).origins, now),
    leaseHolders: frame.holders.reduce(learnHolder, nodeSession.leaseHolders),
  };
};

/**
 * Link that a reply belongs to: that of this node's own registry, or a new one to a probed registry
 * whose feed is fresh while that of the own one is not.
 */
const linkFor = (
  nodeSession: NodeSession,
  from: Peer,
  reply: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): RegistryLink | undefined => {
  const link = nodeSession.registryLink;
  if (link?.address === from.address) return link;
  // A push (without an echoed time) may come from a registry that this node has left.
  const isBetter =
    reply.age !== undefined && reply.at > clockOrigin && !followsPrimary(nodeSession, now);
  return isBetter
    ? { address: from.address, connectedAt: now, lastHeardAt: now, staleSince: undefined }
    : undefined;
};

/** Applies a registry's heartbeat reply or push. */
export const applyHeartbeatReply = (
  nodeSession: NodeSession,
  from: Peer,
  reply: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): NodeSession => {
  const link = linkFor(nodeSession, from, reply, now);
  if (link === undefined) return nodeSession;
  const currentElectorate = nodeSession.electorate;
  const next = reply.electorate;
  const fleet = reply.fleet ?? nodeSession.fleet;
  const staleSince =
    reply.age !== undefined || fleet === undefined ? undefined : (link.staleSince ?? now);
  return {
    ...nodeSession,
    registryHeardAt: now,
    registryLink: { ...link, lastHeardAt: now, staleSince },
    electorate:
      next !== undefined &&
      (currentElectorate === undefined || next.serial > currentElectorate.serial)
        ? next
        : currentElectorate,
    fleet,
  };
};
