/**
 * A node's side of its session with a registry: heartbeats, the choice of a registry that follows
 * the primary, and what the node learns of the fleet. What a node does with a configuration or a
 * lease is the node agent's part.
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

/** How often a node sends a heartbeat to its registry. */
export const heartbeatIntervalMs = 250;
/** How long a registry may be silent before the node connects to another. */
export const registryTimeoutMs = 700;
/** How long a registry's feed may be stale before the node connects to another, and how long it stays at least. */
const staleTimeoutMs = 500;
const sessionTimeoutMs = 1200;
/** How often a node whose registry's feed is stale probes other registries. */
const probeIntervalMs = 250;
/** How many registries are probed at a time. */
const probeWidth = 3;

type SessionTransition = Transition<NodeSession, ProcessEffect>;

interface RegistryLink {
  readonly address: Address;
  readonly connectedAt: Timestamp;
  readonly lastHeardAt: Timestamp | undefined;
  /** Since when the registry has had no fresh feed of the primary; undefined while it has. */
  readonly staleSince: Timestamp | undefined;
}

/** A node's side of its session, and what it learned of the fleet through it. */
export interface NodeSession {
  readonly member: Member;
  readonly seeds: readonly Address[];
  readonly registryLink: RegistryLink | undefined;
  readonly heartbeatSentAt: Timestamp;
  /** When other registries were last probed. */
  readonly probedAt: Timestamp;
  /** Which of the other registries is probed next. */
  readonly nextProbeIndex: number;
  /** When any registry was last heard: a session outlives the change of its registry. */
  readonly registryHeardAt: Timestamp;
  readonly seq: Seq;
  readonly members: readonly Member[];
  readonly origins: OriginTable;
  readonly holders: ReadonlyMap<LeaseName, LeaseHolder>;
  readonly electorate: Electorate | undefined;
  readonly fleet: FleetId | undefined;
  readonly randomState: RandomState;
}

/** A session that has not chosen a registry yet. */
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
  holders: new Map(),
  electorate: undefined,
  fleet: undefined,
  randomState,
});

/** The registries that this node knows: those of the fleet, and the seeds while it knows none. */
export const knownRegistries = (nodeSession: NodeSession): readonly Address[] => {
  const known = nodeSession.members
    .filter((one) => one.role === 'registry')
    .map((one) => one.address);
  return [...new Set([...known, ...nodeSession.seeds])];
};

const switchRegistry = (nodeSession: NodeSession, now: Timestamp): NodeSession => {
  const others = knownRegistries(nodeSession).filter(
    (one) => one !== nodeSession.registryLink?.address,
  );
  const pool = others.length > 0 ? others : knownRegistries(nodeSession);
  const [fraction, randomState] = nextRandom(nodeSession.randomState);
  const address = pool[Math.floor(fraction * pool.length)];
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

/** Whether this registry's feed has been stale for too long, and there is another registry. */
const isStale = (nodeSession: NodeSession, registryLink: RegistryLink, now: Timestamp): boolean =>
  registryLink.staleSince !== undefined &&
  now - registryLink.staleSince > staleTimeoutMs &&
  now - registryLink.connectedAt >= staleTimeoutMs &&
  knownRegistries(nodeSession).some((one) => one !== registryLink.address);

/** Whether any registry answered in time. */
export const isConnected = (nodeSession: NodeSession, now: Timestamp): boolean =>
  nodeSession.registryHeardAt > clockOrigin && now - nodeSession.registryHeardAt < sessionTimeoutMs;

/** The highest epoch in which this node knows a lease to have been held. */
export const highestEpoch = (nodeSession: NodeSession, lease: LeaseName): Epoch =>
  nodeSession.holders.get(lease)?.epoch ?? noEpoch;

/** What a node reports in a heartbeat. */
export interface HeartbeatContent {
  readonly report: NodeStatus;
  readonly heldLeases: readonly LeaseHolder[];
  readonly latestPurge: Seq;
  readonly isLeaving: boolean;
  /** The digest of the release records that it knows; undefined to be sent all. */
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

/** Sends a heartbeat to this node's registry now. */
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

/** Whether this node's registry has a fresh feed of the primary, by its last answer. */
const followsPrimary = (nodeSession: NodeSession, now: Timestamp): boolean => {
  const link = nodeSession.registryLink;
  return (
    link?.lastHeardAt !== undefined &&
    link.staleSince === undefined &&
    now - link.lastHeardAt < registryTimeoutMs
  );
};

/**
 * Sends heartbeats to some other registries too while the feed of this node's own is stale: a
 * registry that is dead, cut off or without a majority then costs one round trip to the others.
 */
const probeOtherRegistries = (
  nodeSession: NodeSession,
  content: HeartbeatContent,
  now: Timestamp,
): SessionTransition => {
  if (followsPrimary(nodeSession, now) || now - nodeSession.probedAt < probeIntervalMs)
    return transition(nodeSession);
  const others = knownRegistries(nodeSession).filter(
    (one) => one !== nodeSession.registryLink?.address,
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

/** Lets time pass: sends heartbeats, and looks for a registry with a fresh feed while its own has none. */
export const tickSession = (
  nodeSession: NodeSession,
  content: HeartbeatContent,
  now: Timestamp,
): SessionTransition => {
  const ticked = tickOwnRegistry(nodeSession, content, now);
  return prependEffects(ticked.effects, probeOtherRegistries(ticked.state, content, now));
};

/** Sends a heartbeat when it is due; switches registries when this one is silent or stale. */
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
    const moved = switchRegistry(nodeSession, now);
    return prependEffects(warnings, sendHeartbeat(moved, content, now));
  }
  // The session outlives the switch: the next registry continues it.
  if (isStale(nodeSession, nodeSession.registryLink, now))
    return sendHeartbeat(switchRegistry(nodeSession, now), content, now);
  return now - nodeSession.heartbeatSentAt >= heartbeatIntervalMs
    ? sendHeartbeat(nodeSession, content, now)
    : transition(nodeSession);
};

/** A channel ended: if it was the registry's, the node switches to another at once. */
export const onRegistryLost = (
  nodeSession: NodeSession,
  address: Address,
  now: Timestamp,
): NodeSession =>
  nodeSession.registryLink?.address === address ? switchRegistry(nodeSession, now) : nodeSession;

/** Takes in who holds a lease, if its epoch is newer than the known one. */
export const learnHolder = (
  holders: ReadonlyMap<LeaseName, LeaseHolder>,
  holder: LeaseHolder,
): ReadonlyMap<LeaseName, LeaseHolder> => {
  const known = holders.get(holder.duty);
  return known !== undefined && known.epoch >= holder.epoch
    ? holders
    : withEntry(holders, holder.duty, holder);
};

/** Takes in a registry's member list; members count only from this node's own registry. */
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
    holders: frame.holders.reduce(learnHolder, nodeSession.holders),
  };
};

/**
 * The link that an answer belongs to: that of this node's own registry, or of a probed one if its
 * feed is fresh and that of the own registry is not.
 */
const linkFor = (
  nodeSession: NodeSession,
  from: Peer,
  reply: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): RegistryLink | undefined => {
  const link = nodeSession.registryLink;
  if (link?.address === from.address) return link;
  // A push answers no heartbeat; it may come from a registry that this node left.
  const isBetter =
    reply.age !== undefined && reply.at > clockOrigin && !followsPrimary(nodeSession, now);
  return isBetter
    ? { address: from.address, connectedAt: now, lastHeardAt: now, staleSince: undefined }
    : undefined;
};

/** Takes in a registry's answer to a heartbeat, or a push. */
export const applyHeartbeatReply = (
  nodeSession: NodeSession,
  from: Peer,
  reply: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): NodeSession => {
  const link = linkFor(nodeSession, from, reply, now);
  if (link === undefined) return nodeSession;
  const known = nodeSession.electorate;
  const next = reply.electorate;
  const fleet = reply.fleet ?? nodeSession.fleet;
  const staleSince =
    reply.age !== undefined || fleet === undefined ? undefined : (link.staleSince ?? now);
  return {
    ...nodeSession,
    registryHeardAt: now,
    registryLink: { ...link, lastHeardAt: now, staleSince },
    electorate:
      next !== undefined && (known === undefined || next.serial > known.serial) ? next : known,
    fleet,
  };
};
