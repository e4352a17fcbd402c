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

/** How often a node speaks to its registry. */
export const heartbeatIntervalMs = 250;
/** How long a registry may be silent before the node goes to another. */
export const registryTimeoutMs = 700;
/** How long a registry may have no fresh word of the primary before the node goes to another, and how long it stays at least. */
const staleTimeoutMs = 500;
const sessionTimeoutMs = 1200;
/** How often a node without a fresh word of the primary asks other registries, and how many at a time. */
const probeIntervalMs = 250;
const probeWidth = 3;

interface RegistryLink {
  readonly address: Address;
  readonly connectedAt: Timestamp;
  readonly lastHeardAt: Timestamp | undefined;
  /** Since when it has no fresh word of the primary. */
  readonly staleSince: Timestamp | undefined;
}

/** A node's side of its session, and what it learned of the fleet through it. */
export interface NodeSession {
  readonly member: Member;
  readonly seeds: readonly Address[];
  readonly registryLink: RegistryLink | undefined;
  readonly heartbeatSentAt: Timestamp;
  /** When other registries than its own were last asked, and which of them is the next. */
  readonly probedAt: Timestamp;
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

export const newNodeSession = (
  member: Member,
  seeds: readonly Address[],
  dice: RandomState,
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
  randomState: dice,
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
  const [chance, dice] = nextRandom(nodeSession.randomState);
  const address = pool[Math.floor(chance * pool.length)];
  return {
    ...nodeSession,
    randomState: dice,
    registryLink:
      address === undefined
        ? undefined
        : { address, connectedAt: now, lastHeardAt: undefined, staleSince: undefined },
  };
};

const isSilent = (registryLink: RegistryLink, now: Timestamp): boolean =>
  now - (registryLink.lastHeardAt ?? registryLink.connectedAt) > registryTimeoutMs;

/** Whether this registry has been without word of the primary for too long, and there is another one to go to. */
const isStale = (nodeSession: NodeSession, registryLink: RegistryLink, now: Timestamp): boolean =>
  registryLink.staleSince !== undefined &&
  now - registryLink.staleSince > staleTimeoutMs &&
  now - registryLink.connectedAt >= staleTimeoutMs &&
  knownRegistries(nodeSession).some((one) => one !== registryLink.address);

/** Whether the session stands. */
export const isConnected = (nodeSession: NodeSession, now: Timestamp): boolean =>
  nodeSession.registryHeardAt > clockOrigin && now - nodeSession.registryHeardAt < sessionTimeoutMs;

export const highestEpoch = (nodeSession: NodeSession, duty: LeaseName): Epoch =>
  nodeSession.holders.get(duty)?.epoch ?? noEpoch;

/** What a node adds to its word of itself. */
export interface HeartbeatContent {
  readonly report: NodeStatus;
  readonly heldLeases: readonly LeaseHolder[];
  readonly latestPurge: Seq;
  readonly isLeaving: boolean;
  /** The digest of the records of releases that it knows; undefined to be told all. */
  readonly releasesDigest?: string | undefined;
}

const heartbeatTo = (
  nodeSession: NodeSession,
  address: Address,
  words: HeartbeatContent,
  now: Timestamp,
): Transition<NodeSession, ProcessEffect> => {
  const seq = nextSeq(nodeSession.seq);
  return transition(
    { ...nodeSession, seq },
    send(address, {
      kind: 'heartbeat',
      member: nodeSession.member,
      seq,
      at: now,
      report: words.report,
      bye: words.isLeaving,
      held: [...words.heldLeases],
      purged: words.latestPurge,
      ...(words.releasesDigest === undefined ? {} : { releases: words.releasesDigest }),
    }),
  );
};

/** Speaks to the registry now. */
export const sendHeartbeat = (
  nodeSession: NodeSession,
  words: HeartbeatContent,
  now: Timestamp,
): Transition<NodeSession, ProcessEffect> =>
  nodeSession.registryLink === undefined
    ? transition(nodeSession)
    : heartbeatTo(
        { ...nodeSession, heartbeatSentAt: now },
        nodeSession.registryLink.address,
        words,
        now,
      );

/** Whether this node's registry has a fresh word of the primary, as far as its last answer tells. */
const followsPrimary = (nodeSession: NodeSession, now: Timestamp): boolean => {
  const link = nodeSession.registryLink;
  return (
    link?.lastHeardAt !== undefined &&
    link.staleSince === undefined &&
    now - link.lastHeardAt < registryTimeoutMs
  );
};

/**
 * Asks some other registries too, while this node's own has no fresh word of the primary: one that
 * is dead, cut off or without a majority costs no more than a round trip to the others.
 */
const probeOtherRegistries = (
  nodeSession: NodeSession,
  words: HeartbeatContent,
  now: Timestamp,
): Transition<NodeSession, ProcessEffect> => {
  if (followsPrimary(nodeSession, now) || now - nodeSession.probedAt < probeIntervalMs)
    return transition(nodeSession);
  const others = knownRegistries(nodeSession).filter(
    (one) => one !== nodeSession.registryLink?.address,
  );
  const width = Math.min(probeWidth, others.length);
  const chosen = Array.from(
    { length: width },
    (_, at) => (nodeSession.nextProbeIndex + at) % others.length,
  );
  let next: Transition<NodeSession, ProcessEffect> = transition({
    ...nodeSession,
    probedAt: now,
    nextProbeIndex: nodeSession.nextProbeIndex + width,
  });
  for (const at of chosen) {
    const address = others[at];
    if (address === undefined) continue;
    next = prependEffects(next.effects, heartbeatTo(next.state, address, words, now));
  }
  return next;
};

/** Lets time pass: heartbeats, and looks for a registry that follows the primary while its own does not. */
export const tickSession = (
  nodeSession: NodeSession,
  words: HeartbeatContent,
  now: Timestamp,
): Transition<NodeSession, ProcessEffect> => {
  const spoken = tickOwnRegistry(nodeSession, words, now);
  return prependEffects(spoken.effects, probeOtherRegistries(spoken.state, words, now));
};

/** Heartbeats when it is due, goes to another registry when this one is silent or knows nothing new. */
const tickOwnRegistry = (
  nodeSession: NodeSession,
  words: HeartbeatContent,
  now: Timestamp,
): Transition<NodeSession, ProcessEffect> => {
  if (nodeSession.registryLink === undefined || isSilent(nodeSession.registryLink, now)) {
    const lost =
      nodeSession.registryLink?.lastHeardAt === undefined
        ? []
        : [
            log('warn', 'registry is silent, going to another', [
              'registry',
              nodeSession.registryLink.address,
            ]),
          ];
    const moved = switchRegistry(nodeSession, now);
    return prependEffects(lost, sendHeartbeat(moved, words, now));
  }
  // The session stands meanwhile: the next registry takes it on where this one had it.
  if (isStale(nodeSession, nodeSession.registryLink, now))
    return sendHeartbeat(switchRegistry(nodeSession, now), words, now);
  return now - nodeSession.heartbeatSentAt >= heartbeatIntervalMs
    ? sendHeartbeat(nodeSession, words, now)
    : transition(nodeSession);
};

/** A channel ended: if it was the registry's, another one is sought at once. */
export const onRegistryLost = (
  nodeSession: NodeSession,
  address: Address,
  now: Timestamp,
): NodeSession =>
  nodeSession.registryLink?.address === address ? switchRegistry(nodeSession, now) : nodeSession;

export const learnHolder = (
  holders: ReadonlyMap<LeaseName, LeaseHolder>,
  word: LeaseHolder,
): ReadonlyMap<LeaseName, LeaseHolder> => {
  const known = holders.get(word.duty);
  return known !== undefined && known.epoch >= word.epoch
    ? holders
    : withEntry(holders, word.duty, word);
};

/** Takes in what a registry tells of the fleet. */
export const applyMemberList = (
  nodeSession: NodeSession,
  from: Peer,
  word: FrameOf<'member-list'>,
  now: Timestamp,
): NodeSession => {
  const mine = nodeSession.registryLink?.address === from.address;
  return {
    ...nodeSession,
    members: mine ? word.members : nodeSession.members,
    origins: forgetOrigins(learnOrigins(nodeSession.origins, word.origins, now).origins, now),
    holders: word.holders.reduce(learnHolder, nodeSession.holders),
  };
};

/**
 * The link that an answer belongs to: this node's own registry, or another one that was asked
 * besides, if that one has a fresh word of the primary and its own has not.
 */
const linkFor = (
  nodeSession: NodeSession,
  from: Peer,
  word: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): RegistryLink | undefined => {
  const link = nodeSession.registryLink;
  if (link?.address === from.address) return link;
  // A push answers no heartbeat; it may come from a registry that this node left.
  const better =
    word.age !== undefined && word.at > clockOrigin && !followsPrimary(nodeSession, now);
  return better
    ? { address: from.address, connectedAt: now, lastHeardAt: now, staleSince: undefined }
    : undefined;
};

/** Takes in a registry's answer to a heartbeat. */
export const applyHeartbeatReply = (
  nodeSession: NodeSession,
  from: Peer,
  word: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): NodeSession => {
  const link = linkFor(nodeSession, from, word, now);
  if (link === undefined) return nodeSession;
  const known = nodeSession.electorate;
  const next = word.electorate;
  const fleet = word.fleet ?? nodeSession.fleet;
  const stale =
    word.age !== undefined || fleet === undefined ? undefined : (link.staleSince ?? now);
  return {
    ...nodeSession,
    registryHeardAt: now,
    registryLink: { ...link, lastHeardAt: now, staleSince: stale },
    electorate:
      next !== undefined && (known === undefined || next.serial > known.serial) ? next : known,
    fleet,
  };
};
