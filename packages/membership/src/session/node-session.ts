import {
  type Address,
  type Dice,
  type Duty,
  type Epoch,
  type FleetId,
  type Moment,
  type Seq,
  type Step,
  join,
  nextSeq,
  noEpoch,
  noSeq,
  put,
  roll,
  start,
  step,
  toMoment,
} from '@switchwheel/types';
import {
  type Peer,
  type Electorate,
  type FrameOf,
  type Holder,
  type Member,
  type Report,
  type WireEffect,
  log,
  send,
} from '@switchwheel/transport';
import { type Origins, forget, learnAll } from '../origins/origins.js';

/** How often a node speaks to its registry. */
export const heartbeatInterval = 250;
/** How long a registry may be silent before the node goes to another. */
export const registryTimeout = 700;
/** How long a registry may have no fresh word of the primary before the node goes to another, and how long it stays at least. */
const staleTimeout = 500;
const sessionTimeout = 1200;
/** How often a node without a fresh word of the primary asks other registries, and how many at a time. */
const probeInterval = 250;
const probeWidth = 3;

interface RegistryLink {
  readonly address: Address;
  readonly since: Moment;
  readonly heard: Moment | undefined;
  /** Since when it has no fresh word of the primary. */
  readonly staleSince: Moment | undefined;
}

/** A node's side of its session, and what it learned of the fleet through it. */
export interface NodeSession {
  readonly member: Member;
  readonly seeds: readonly Address[];
  readonly registryLink: RegistryLink | undefined;
  readonly heartbeatSentAt: Moment;
  /** When other registries than its own were last asked, and which of them is the next. */
  readonly probedAt: Moment;
  readonly probeNext: number;
  /** When any registry was last heard: a session outlives the change of its registry. */
  readonly registryHeardAt: Moment;
  readonly seq: Seq;
  readonly members: readonly Member[];
  readonly origins: Origins;
  readonly holders: ReadonlyMap<Duty, Holder>;
  readonly electorate: Electorate | undefined;
  readonly fleet: FleetId | undefined;
  readonly dice: Dice;
}

export const newNodeSession = (
  member: Member,
  seeds: readonly Address[],
  dice: Dice,
): NodeSession => ({
  member,
  seeds,
  registryLink: undefined,
  heartbeatSentAt: start,
  probedAt: toMoment(-probeInterval),
  probeNext: 0,
  registryHeardAt: start,
  seq: noSeq,
  members: [],
  origins: new Map(),
  holders: new Map(),
  electorate: undefined,
  fleet: undefined,
  dice,
});

/** The registries that this node knows: those of the fleet, and the seeds while it knows none. */
export const knownRegistries = (berth: NodeSession): readonly Address[] => {
  const known = berth.members.filter((one) => one.role === 'registry').map((one) => one.address);
  return [...new Set([...known, ...berth.seeds])];
};

const switchRegistry = (berth: NodeSession, now: Moment): NodeSession => {
  const others = knownRegistries(berth).filter((one) => one !== berth.registryLink?.address);
  const pool = others.length > 0 ? others : knownRegistries(berth);
  const [chance, dice] = roll(berth.dice);
  const address = pool[Math.floor(chance * pool.length)];
  return {
    ...berth,
    dice,
    registryLink:
      address === undefined
        ? undefined
        : { address, since: now, heard: undefined, staleSince: undefined },
  };
};

const isSilent = (moor: RegistryLink, now: Moment): boolean =>
  now - (moor.heard ?? moor.since) > registryTimeout;

/** Whether this registry has been without word of the primary for too long, and there is another one to go to. */
const isStale = (berth: NodeSession, moor: RegistryLink, now: Moment): boolean =>
  moor.staleSince !== undefined &&
  now - moor.staleSince > staleTimeout &&
  now - moor.since >= staleTimeout &&
  knownRegistries(berth).some((one) => one !== moor.address);

/** Whether the session stands. */
export const isConnected = (berth: NodeSession, now: Moment): boolean =>
  berth.registryHeardAt > start && now - berth.registryHeardAt < sessionTimeout;

export const highestEpoch = (berth: NodeSession, duty: Duty): Epoch =>
  berth.holders.get(duty)?.epoch ?? noEpoch;

/** What a node adds to its word of itself. */
export interface HeartbeatContent {
  readonly report: Report;
  readonly held: readonly Holder[];
  readonly purged: Seq;
  readonly bye: boolean;
  /** The digest of the records of releases that it knows; undefined to be told all. */
  readonly releases?: string | undefined;
}

const heartbeatTo = (
  berth: NodeSession,
  address: Address,
  words: HeartbeatContent,
  now: Moment,
): Step<NodeSession, WireEffect> => {
  const seq = nextSeq(berth.seq);
  return step(
    { ...berth, seq },
    send(address, {
      kind: 'heartbeat',
      member: berth.member,
      seq,
      at: now,
      report: words.report,
      bye: words.bye,
      held: [...words.held],
      purged: words.purged,
      ...(words.releases === undefined ? {} : { releases: words.releases }),
    }),
  );
};

/** Speaks to the registry now. */
export const sendHeartbeat = (
  berth: NodeSession,
  words: HeartbeatContent,
  now: Moment,
): Step<NodeSession, WireEffect> =>
  berth.registryLink === undefined
    ? step(berth)
    : heartbeatTo({ ...berth, heartbeatSentAt: now }, berth.registryLink.address, words, now);

/** Whether this node's registry has a fresh word of the primary, as far as its last answer tells. */
const followsPrimary = (berth: NodeSession, now: Moment): boolean => {
  const link = berth.registryLink;
  return (
    link?.heard !== undefined && link.staleSince === undefined && now - link.heard < registryTimeout
  );
};

/**
 * Asks some other registries too, while this node's own has no fresh word of the primary: one that
 * is dead, cut off or without a majority costs no more than a round trip to the others.
 */
const probe = (
  berth: NodeSession,
  words: HeartbeatContent,
  now: Moment,
): Step<NodeSession, WireEffect> => {
  if (followsPrimary(berth, now) || now - berth.probedAt < probeInterval) return step(berth);
  const others = knownRegistries(berth).filter((one) => one !== berth.registryLink?.address);
  const width = Math.min(probeWidth, others.length);
  const chosen = Array.from({ length: width }, (_, at) => (berth.probeNext + at) % others.length);
  let next: Step<NodeSession, WireEffect> = step({
    ...berth,
    probedAt: now,
    probeNext: berth.probeNext + width,
  });
  for (const at of chosen) {
    const address = others[at];
    if (address === undefined) continue;
    next = join(next.effects, heartbeatTo(next.state, address, words, now));
  }
  return next;
};

/** Lets time pass: heartbeats, and looks for a registry that follows the primary while its own does not. */
export const tickSession = (
  berth: NodeSession,
  words: HeartbeatContent,
  now: Moment,
): Step<NodeSession, WireEffect> => {
  const spoken = tickOwnRegistry(berth, words, now);
  return join(spoken.effects, probe(spoken.state, words, now));
};

/** Heartbeats when it is due, goes to another registry when this one is silent or knows nothing new. */
const tickOwnRegistry = (
  berth: NodeSession,
  words: HeartbeatContent,
  now: Moment,
): Step<NodeSession, WireEffect> => {
  if (berth.registryLink === undefined || isSilent(berth.registryLink, now)) {
    const lost =
      berth.registryLink?.heard === undefined
        ? []
        : [
            log('warn', 'registry is silent, going to another', [
              'registry',
              berth.registryLink.address,
            ]),
          ];
    const moved = switchRegistry(berth, now);
    return join(lost, sendHeartbeat(moved, words, now));
  }
  // The session stands meanwhile: the next registry takes it on where this one had it.
  if (isStale(berth, berth.registryLink, now))
    return sendHeartbeat(switchRegistry(berth, now), words, now);
  return now - berth.heartbeatSentAt >= heartbeatInterval
    ? sendHeartbeat(berth, words, now)
    : step(berth);
};

/** A channel ended: if it was the registry's, another one is sought at once. */
export const onRegistryLost = (berth: NodeSession, address: Address, now: Moment): NodeSession =>
  berth.registryLink?.address === address ? switchRegistry(berth, now) : berth;

export const learnHolder = (
  holders: ReadonlyMap<Duty, Holder>,
  word: Holder,
): ReadonlyMap<Duty, Holder> => {
  const known = holders.get(word.duty);
  return known !== undefined && known.epoch >= word.epoch ? holders : put(holders, word.duty, word);
};

/** Takes in what a registry tells of the fleet. */
export const applyMemberList = (
  berth: NodeSession,
  from: Peer,
  word: FrameOf<'member-list'>,
  now: Moment,
): NodeSession => {
  const mine = berth.registryLink?.address === from.address;
  return {
    ...berth,
    members: mine ? word.members : berth.members,
    origins: forget(learnAll(berth.origins, word.origins, now).origins, now),
    holders: word.holders.reduce(learnHolder, berth.holders),
  };
};

/**
 * The link that an answer belongs to: this node's own registry, or another one that was asked
 * besides, if that one has a fresh word of the primary and its own has not.
 */
const linkFor = (
  berth: NodeSession,
  from: Peer,
  word: FrameOf<'heartbeat-reply'>,
  now: Moment,
): RegistryLink | undefined => {
  const link = berth.registryLink;
  if (link?.address === from.address) return link;
  // A push answers no heartbeat; it may come from a registry that this node left.
  const better = word.age !== undefined && word.at > start && !followsPrimary(berth, now);
  return better
    ? { address: from.address, since: now, heard: now, staleSince: undefined }
    : undefined;
};

/** Takes in a registry's answer to a heartbeat. */
export const applyHeartbeatReply = (
  berth: NodeSession,
  from: Peer,
  word: FrameOf<'heartbeat-reply'>,
  now: Moment,
): NodeSession => {
  const link = linkFor(berth, from, word, now);
  if (link === undefined) return berth;
  const known = berth.electorate;
  const next = word.electorate;
  const fleet = word.fleet ?? berth.fleet;
  const stale =
    word.age !== undefined || fleet === undefined ? undefined : (link.staleSince ?? now);
  return {
    ...berth,
    registryHeardAt: now,
    registryLink: { ...link, heard: now, staleSince: stale },
    electorate:
      next !== undefined && (known === undefined || next.serial > known.serial) ? next : known,
    fleet,
  };
};
