import {
  type Timestamp,
  type Transition,
  countViolations,
  subtractMs,
  prependEffects,
  noGeneration,
  noSeq,
  withEntry,
  filterEntries,
  transition,
  toCommandId,
  toTimestamp,
} from '@switchwheel/types';
import {
  type Peer,
  type Frame,
  type FrameOf,
  type ConfigManifest,
  type ProcessEffect,
  log,
  send,
} from '@switchwheel/transport';
import {
  abstentionEnd,
  recoverGrants,
  adoptElectorate,
  handleVoteRequest,
} from '@switchwheel/election';
import { learnHolder } from '../session/node-session.js';
import { learnOrigins } from '../origins/origins.js';
import { onDeparture, onDepartureAck, tickDepartures } from './departures.js';
import {
  tickPendingCommands,
  onCommandResult,
  onBootstrapped,
  onExternalRequest,
  onStoreChunkRequest,
} from './operator-commands.js';
import { forgetExpired } from './retention.js';
import type { RegistryEffect, RegistryEvent } from './event.js';
import { learnHint } from './disk-hints.js';
import {
  learnSession,
  onHeartbeat,
  onChunk,
  onNodeChunkRequest,
  pushToNodes,
  vacantLeases,
} from './node-sessions.js';
import {
  type Feed,
  type KnownSession,
  type PeerContact,
  type RegistryState,
  newRegistryState,
} from './state.js';
import { chunksOfReads } from './configuration-read.js';
import {
  isAlive,
  broadcastTargets,
  peerAddresses,
  feedAgeMs,
  gossipFrame,
  hasMajorityContact,
  emptyReport,
  primaryHolder,
  broadcast,
  sendMemberList,
} from './queries.js';

type RegistryTransition = Transition<RegistryState, RegistryEffect>;
const gossipIntervalMs = 300;
const subscribeIntervalMs = 250;
/** How often nodes are told of the fleet without news: an origin that nobody speaks of counts as silent. */
const memberListIntervalMs = 1000;
const proposeIntervalMs = 300;
const bootstrapWindowMs = 30_000;

const onVoteRequest = (
  state: RegistryState,
  from: Peer,
  word: FrameOf<'vote-request'>,
  now: Timestamp,
): RegistryTransition => {
  const [voter, ballot] = handleVoteRequest(state.voter, word, now);
  const base: RegistryState = {
    ...state,
    voter: voter,
    fleet: voter.fleet ?? state.fleet,
    electorate: voter.electorate ?? state.electorate,
  };
  const answer = send(from.address, ballot);
  // A renewal is the word of a holder that won.
  const won =
    word.renew && !word.stepDown && ballot.granted && word.held !== undefined
      ? word.held
      : undefined;
  if (won === undefined) return transition(base, answer);
  const holders = learnHolder(base.holders, won);
  if (holders === base.holders) return transition(base, answer);
  const next = { ...base, holders };
  return transition(next, answer, ...broadcast(next, now));
};

/** The gossip of this registry's own life that a peer shows to have. */
const echoOf = (
  state: RegistryState,
  word: FrameOf<'gossip'>,
): FrameOf<'gossip'>['heard'][number] | undefined =>
  word.heard.find(
    (one) => one.node === state.member.node && one.incarnation === state.member.incarnation,
  );

/** What a gossip tells of the ways between this registry and the peer; undefined if it is older than what is known. */
const contactOf = (
  state: RegistryState,
  word: FrameOf<'gossip'>,
  now: Timestamp,
): PeerContact | undefined => {
  const { incarnation } = word.from;
  const known = state.peers.get(word.from.node);
  const sameLife = known?.incarnation === incarnation;
  if (known !== undefined && incarnation < known.incarnation) return undefined;
  if (sameLife && word.at <= known.gossipSentAt) return undefined;
  const echoed = echoOf(state, word)?.at;
  return {
    incarnation,
    gossipSentAt: word.at,
    gossipEchoedAt: echoed ?? (sameLife ? known.gossipEchoedAt : undefined),
    primaryAsOf: word.feedAge === undefined ? undefined : subtractMs(now, word.feedAge),
  };
};

/** A peer that restarted waits for what this registry remembers: it is told at once. */
const answerRecovering = (
  state: RegistryState,
  word: FrameOf<'gossip'>,
  now: Timestamp,
): readonly ProcessEffect[] =>
  word.recovering && !state.voter.isRecovering
    ? [send(word.from.address, gossipFrame(state, now))]
    : [];

const onGossip = (
  state: RegistryState,
  word: FrameOf<'gossip'>,
  now: Timestamp,
): RegistryTransition => {
  const node = word.from.node;
  if (node === state.member.node) return transition(state);
  const contact = contactOf(state, word, now);
  // A gossip that was overtaken tells nothing that its sender did not tell since.
  if (contact === undefined) return transition(state);
  const self: KnownSession = {
    member: word.from,
    report: emptyReport(true),
    registry: node,
    seq: noSeq,
    lastHeardAt: now,
    open: true,
  };
  let next: RegistryState = {
    ...state,
    peers: withEntry(state.peers, node, contact),
    sessions: withEntry(state.sessions, node, self),
  };
  let news = state.sessions.get(node)?.member.address !== word.from.address;
  for (const { age, ...session } of word.sessions) {
    if (session.member.role === 'registry') {
      // Registries speak for themselves; a peer's word only tells of one not met yet.
      if (session.member.node !== state.member.node && !next.sessions.has(session.member.node)) {
        next = {
          ...next,
          sessions: withEntry(next.sessions, session.member.node, {
            ...session,
            lastHeardAt: toTimestamp(now - age - 1000),
          }),
        };
      }
      continue;
    }
    const learned = learnSession(next, { ...session, lastHeardAt: subtractMs(now, age) });
    next = learned.state;
    news ||= learned.news;
  }
  const origins = learnOrigins(next.origins, word.origins, now);
  const holders = word.holders.reduce(learnHolder, next.holders);
  news ||= origins.news || holders !== next.holders;
  const memory = {
    from: node,
    isRecovering: word.recovering,
    records: word.memories,
    lastGossipHeard: echoOf(state, word),
  };
  const voter = recoverGrants(next.voter, memory, now);
  next = { ...next, origins: origins.origins, holders, voter: voter };
  // What is news here goes on to the nodes; peers hear it from whom it began with.
  return transition(
    next,
    ...answerRecovering(next, word, now),
    ...(news ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};

const isNewerOffer = (
  next: ConfigManifest | undefined,
  known: ConfigManifest | undefined,
): boolean => next !== undefined && next.generation > (known?.generation ?? noGeneration);

const onFeed = (
  state: RegistryState,
  word: FrameOf<'feed'>,
  now: Timestamp,
): RegistryTransition => {
  if (word.epoch < state.feed.epoch) return transition(state);
  if (state.fleet !== undefined && state.fleet !== word.fleet)
    return transition(state, log('error', 'a feed of another fleet', ['fleet', word.fleet]));
  const old = state.feed;
  const back = word.epoch === old.epoch && word.serial < old.latestSerial;
  const asOf = word.at > 0 && !back ? toTimestamp(Math.max(word.at, old.asOf ?? 0)) : old.asOf;
  if (back) return transition(state);
  const known = new Set(old.purges.map((one) => one.seq));
  const purges = [...old.purges, ...word.purges.filter((one) => !known.has(one.seq))].filter(
    (one) => one.seq >= word.floor,
  );
  const feed: Feed = {
    epoch: word.epoch,
    desiredSerial: word.desired === undefined ? old.desiredSerial : word.serial,
    latestSerial: word.serial,
    asOf,
    desired:
      word.desired === undefined
        ? old.desired
        : new Map(word.desired.map(({ node, ...row }) => [node, row])),
    offers:
      word.desired === undefined ? old.offers : new Map(word.offers.map((one) => [one.hash, one])),
    current: word.current ?? old.current,
    currentSince: isNewerOffer(word.current, old.current) ? now : old.currentSince,
    purges,
    oldestPurge: word.floor,
    latestPurge: word.top,
    canaryResults: word.verdicts,
    releases: word.releases,
    releasesReceivedAt: now,
  };
  const kept = new Set(
    [...feed.offers.values(), ...(feed.current === undefined ? [] : [feed.current])]
      .flatMap((one) => one.pieces)
      .concat(chunksOfReads(state)),
  );
  const voter =
    word.electorate === undefined
      ? state.voter
      : adoptElectorate(state.voter, word.fleet, word.electorate);
  const next: RegistryState = {
    ...state,
    feed,
    voter: voter,
    fleet: word.fleet,
    electorate: voter.electorate ?? state.electorate,
    chunks:
      feed.current?.hash === old.current?.hash
        ? state.chunks
        : filterEntries(state.chunks, (_, hash) => kept.has(hash)),
  };
  const news =
    feed.latestSerial !== old.latestSerial ||
    feed.latestPurge !== old.latestPurge ||
    feed.epoch !== old.epoch ||
    feed.current?.generation !== old.current?.generation;
  const checked = checkConfirmed(next, old.current, feed.current);
  const told: RegistryTransition = news
    ? pushToNodes(checked.state, old.latestPurge, now)
    : transition(checked.state);
  return prependEffects(checked.effects, told);
};

/** A primary that tells of an older description than the one before has lost a confirmed order. */
const checkConfirmed = (
  state: RegistryState,
  known: ConfigManifest | undefined,
  told: ConfigManifest | undefined,
): RegistryTransition =>
  (told?.generation ?? noGeneration) >= (known?.generation ?? noGeneration)
    ? transition(state)
    : transition(
        { ...state, violations: countViolations(state.violations, ['confirmed-kept']) },
        log('error', 'an invariant is broken', ['invariant', 'confirmed-kept']),
      );

/** How far the primary may rely on this registry's vote. */
const voterReadiness = (state: RegistryState, now: Timestamp): FrameOf<'subscribe'>['voter'] => {
  if (state.isStopping) return 'leaving';
  const abstains = now < abstentionEnd(state.voter);
  return state.voter.isRecovering || abstains ? 'recovering' : 'ready';
};

/** Tells the primary which nodes have their session here and what they report. */
const subscribe = (state: RegistryState, now: Timestamp): RegistryTransition => {
  const store = primaryHolder(state);
  if (store === undefined) return transition(state);
  const reports = [...state.sessions.values()]
    .filter((one) => one.registry === state.member.node && one.member.role !== 'registry')
    .map((one) => ({
      node: one.member.node,
      role: one.member.role,
      incarnation: one.member.incarnation,
      open: isAlive(one, now),
      report: one.report,
    }));
  return transition(
    { ...state, subscribedAt: now },
    send(store.address, {
      kind: 'subscribe',
      registry: state.member,
      voter: voterReadiness(state, now),
      at: now,
      epoch: state.feed.epoch,
      serial: state.feed.desiredSerial,
      purged: state.feed.latestPurge,
      reports,
    }),
  );
};

/** Proposes the fleet to its stores until one stands; not long after, as a store may come back with an empty disk. */
const proposeCluster = (state: RegistryState, now: Timestamp): RegistryTransition => {
  const { proposal, voter: voter } = state;
  if (
    proposal === undefined ||
    state.fleet !== undefined ||
    now - state.proposedAt < proposeIntervalMs ||
    now - voter.startedAt > bootstrapWindowMs
  )
    return transition(state);
  const word = {
    kind: 'bootstrap' as const,
    id: toCommandId(`${proposal.fleet}.${state.member.node}`),
    fleet: proposal.fleet,
    stores: [...proposal.stores],
    electorate: proposal.electorate,
  };
  return transition(
    { ...state, proposedAt: now },
    ...proposal.stores.map((one) => send(one.address, word)),
  );
};

/** Whether the voter's abstention has just ended: peers are asked at once for what they remember. */
const abstentionHasEnded = (state: RegistryState, now: Timestamp): boolean =>
  state.voter.isRecovering &&
  now >= abstentionEnd(state.voter) &&
  state.gossipedAt < abstentionEnd(state.voter);

const onTick = (state: RegistryState, now: Timestamp): RegistryTransition => {
  let next: RegistryTransition = transition(state);
  if (now - state.subscribedAt >= subscribeIntervalMs)
    next = prependEffects(next.effects, subscribe(next.state, now));
  if (now - state.gossipedAt >= gossipIntervalMs || abstentionHasEnded(state, now)) {
    const word = gossipFrame(next.state, now);
    next = prependEffects(
      next.effects,
      transition(
        {
          ...forgetExpired(next.state, now),
          gossipedAt: now,
        },
        ...peerAddresses(next.state, now).map((to) => send(to, word)),
      ),
    );
  }
  const open = new Set(vacantLeases(next.state, now));
  if (
    open.size !== state.vacantLeases.size ||
    [...open].some((one) => !state.vacantLeases.has(one))
  ) {
    const fresh = [...open].some((one) => !state.vacantLeases.has(one));
    next = transition({ ...next.state, vacantLeases: open }, ...next.effects);
    // Whoever may take a duty over hears of it at once.
    if (fresh)
      next = prependEffects(
        next.effects,
        pushToNodes(next.state, next.state.feed.latestPurge, now),
      );
  }
  next = prependEffects(next.effects, proposeCluster(next.state, now));
  if (now - state.memberListSentAt >= memberListIntervalMs) {
    const near = [...next.state.sessions.values()].filter(
      (one) =>
        isAlive(one, now) && one.member.role !== 'registry' && one.registry === state.member.node,
    );
    next = prependEffects(
      next.effects,
      transition(
        { ...next.state, memberListSentAt: now },
        ...sendMemberList(
          next.state,
          near.map((one) => one.member.address),
          now,
        ),
      ),
    );
  }
  next = prependEffects(next.effects, tickDepartures(next.state, now));
  return prependEffects(next.effects, tickPendingCommands(next.state, now));
};

const onHint = (
  state: RegistryState,
  word: FrameOf<'hint'>,
  now: Timestamp,
): RegistryTransition => {
  const noted = learnHint(state, word, now);
  if (
    !state.offersDiskHints ||
    feedAgeMs(state, now) !== undefined ||
    !hasMajorityContact(state, now) ||
    (state.fleet !== undefined && state.fleet !== word.metadata.fleet)
  )
    return transition(noted);
  const learned = learnOrigins(noted.origins, word.origins, now);
  const next = { ...noted, origins: learned.origins };
  return transition(
    next,
    ...(learned.news ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};

const onFrame = (
  state: RegistryState,
  from: Peer,
  frame: Frame,
  now: Timestamp,
): RegistryTransition => {
  switch (frame.kind) {
    case 'heartbeat':
      return onHeartbeat(state, from, frame, now);
    case 'vote-request':
      return onVoteRequest(state, from, frame, now);
    case 'gossip':
      return onGossip(state, frame, now);
    case 'departure':
      return onDeparture(state, from, frame, now);
    case 'departure-ack':
      return onDepartureAck(state, frame);
    case 'feed':
      return onFeed(state, frame, now);
    case 'piece-request':
      return primaryHolder(state)?.node === frame.node
        ? onStoreChunkRequest(state, frame, from.address)
        : onNodeChunkRequest(state, from, frame, now);
    case 'piece':
      return onChunk(state, frame, now);
    case 'called':
      return onCommandResult(state, frame, now);
    case 'bootstrapped':
      return onBootstrapped(state, frame);
    case 'hint':
      return onHint(state, frame, now);
    default:
      return transition(
        state,
        log(
          'warn',
          'a frame this program does not take',
          ['frame', frame.kind],
          ['from', from.node],
        ),
      );
  }
};

/** The registry: one function for every change of its state. */
export const registryTransition = (
  state: RegistryState,
  event: RegistryEvent,
): RegistryTransition => {
  switch (event.kind) {
    case 'tick':
      return onTick(state, event.now);
    case 'frameReceived':
      return onFrame(state, event.from, event.frame, event.now);
    case 'peerDisconnected':
      return transition(state);
    case 'requestReceived':
      return onExternalRequest(state, event.correlationId, event.request, event.now);
    case 'stopRequested':
      return subscribe({ ...state, isStopping: true }, event.now);
  }
};

export { newRegistryState };
