import {
  type Moment,
  type Step,
  earlier,
  join,
  noSeq,
  put,
  sift,
  step,
  toCallId,
  toMoment,
} from '@switchwheel/types';
import { type Colleague, type Frame, type FrameOf, log, send } from '@switchwheel/transport';
import { recall, seat, vote } from '@switchwheel/election';
import { learnHolder } from '../berth/berth.js';
import { forget, learnAll } from '../origins/origins.js';
import { onNews, onNoted, passDepartures } from './announce.js';
import { chase, onCalled, onFounded, onOutside, onStoreWant } from './calls.js';
import type { RegistryEffect, RegistryEvent } from './event.js';
import { learnHint, learnSession, onHail, onPiece, onWant, push, vacant } from './nodes.js';
import { type Feed, type Known, type Registry, newRegistry } from './state.js';
import {
  alive,
  audience,
  colleagues,
  feedAge,
  gossip,
  plainReport,
  primaryHolder,
  spread,
  tellNodes,
} from './words.js';

type Done = Step<Registry, RegistryEffect>;
const gossipSpan = 300;
const tuneSpan = 250;
/** How often nodes are told of the fleet without news: an origin that nobody speaks of counts as silent. */
const rosterSpan = 1000;
const proposeSpan = 300;
const foundSpan = 30_000;
/** How long a session that ended is still told of. */
const forgetSpan = 600_000;

const onBallot = (state: Registry, from: Colleague, word: FrameOf<'ballot'>, now: Moment): Done => {
  const [witness, ballot] = vote(state.witness, word, now);
  const base: Registry = {
    ...state,
    witness,
    fleet: witness.fleet ?? state.fleet,
    electorate: witness.electorate ?? state.electorate,
  };
  const answer = send(from.address, ballot);
  // A renewal is the word of a holder that won.
  const won =
    word.renew && !word.lay && ballot.granted && word.held !== undefined ? word.held : undefined;
  if (won === undefined) return step(base, answer);
  const holders = learnHolder(base.holders, won);
  if (holders === base.holders) return step(base, answer);
  const next = { ...base, holders };
  return step(next, answer, ...spread(next, now));
};

const onGossip = (state: Registry, word: FrameOf<'gossip'>, now: Moment): Done => {
  const node = word.from.node;
  if (node === state.member.node) return step(state);
  const self: Known = {
    member: word.from,
    report: plainReport(true),
    registry: node,
    seq: noSeq,
    at: now,
    open: true,
  };
  const told = word.hint === undefined ? state : learnHint(state, word.hint);
  let next: Registry = {
    ...told,
    heard: put(state.heard, node, now),
    sessions: put(state.sessions, node, self),
  };
  let news = state.sessions.get(node)?.member.address !== word.from.address;
  for (const { age, ...session } of word.sessions) {
    if (session.member.role === 'registry') {
      // Registries speak for themselves; a colleague's word only tells of one not met yet.
      if (session.member.node !== state.member.node && !next.sessions.has(session.member.node)) {
        next = {
          ...next,
          sessions: put(next.sessions, session.member.node, {
            ...session,
            at: toMoment(now - age - 1000),
          }),
        };
      }
      continue;
    }
    const learned = learnSession(next, { ...session, at: earlier(now, age) });
    next = learned.state;
    news ||= learned.news;
  }
  const origins = learnAll(next.origins, word.origins, now);
  const holders = word.holders.reduce(learnHolder, next.holders);
  news ||= origins.news || holders !== next.holders;
  const witness = recall(next.witness, node, word.blank, word.memories, now);
  next = { ...next, origins: origins.origins, holders, witness };
  // What is news here goes on to the nodes; colleagues hear it from whom it began with.
  return step(next, ...(news ? tellNodes(next, audience(next, now), now) : []));
};

const onFeed = (state: Registry, word: FrameOf<'feed'>, now: Moment): Done => {
  if (word.epoch < state.feed.epoch) return step(state);
  if (state.fleet !== undefined && state.fleet !== word.fleet)
    return step(state, log('error', 'a feed of another fleet', ['fleet', word.fleet]));
  const old = state.feed;
  const back = word.epoch === old.epoch && word.serial < old.latest;
  const asOf = word.at > 0 && !back ? toMoment(Math.max(word.at, old.asOf ?? 0)) : old.asOf;
  if (back) return step(state);
  const known = new Set(old.purges.map((one) => one.seq));
  const purges = [...old.purges, ...word.purges.filter((one) => !known.has(one.seq))].filter(
    (one) => one.seq >= word.floor,
  );
  const feed: Feed = {
    epoch: word.epoch,
    serial: word.desired === undefined ? old.serial : word.serial,
    latest: word.serial,
    asOf,
    desired:
      word.desired === undefined
        ? old.desired
        : new Map(word.desired.map(({ node, ...row }) => [node, row])),
    offers:
      word.desired === undefined ? old.offers : new Map(word.offers.map((one) => [one.hash, one])),
    current: word.current ?? old.current,
    purges,
    floor: word.floor,
    top: word.top,
    verdicts: word.verdicts,
    releases: word.releases,
    releasesAt: now,
  };
  const kept = new Set(
    [...feed.offers.values(), ...(feed.current === undefined ? [] : [feed.current])].flatMap(
      (one) => one.pieces,
    ),
  );
  const witness =
    word.electorate === undefined
      ? state.witness
      : seat(state.witness, word.fleet, word.electorate);
  const next: Registry = {
    ...state,
    feed,
    witness,
    fleet: word.fleet,
    electorate: witness.electorate ?? state.electorate,
    pieces:
      feed.current?.hash === old.current?.hash
        ? state.pieces
        : sift(state.pieces, (_, hash) => kept.has(hash)),
  };
  const news =
    feed.latest !== old.latest ||
    feed.top !== old.top ||
    feed.epoch !== old.epoch ||
    feed.current?.generation !== old.current?.generation;
  return news ? push(next, old.top, now) : step(next);
};

/** Tells the primary which nodes have their session here and what they report. */
const tune = (state: Registry, now: Moment): Done => {
  const store = primaryHolder(state);
  if (store === undefined) return step(state);
  const reports = [...state.sessions.values()]
    .filter((one) => one.registry === state.member.node && one.member.role !== 'registry')
    .map((one) => ({
      node: one.member.node,
      role: one.member.role,
      incarnation: one.member.incarnation,
      open: alive(one, now),
      report: one.report,
    }));
  return step(
    { ...state, tuned: now },
    send(store.address, {
      kind: 'tune',
      registry: state.member,
      at: now,
      epoch: state.feed.epoch,
      serial: state.feed.serial,
      purged: state.feed.top,
      reports,
    }),
  );
};

/** Proposes the fleet to its stores until one stands; not long after, as a store may come back with an empty disk. */
const propose = (state: Registry, now: Moment): Done => {
  const { proposal, witness } = state;
  if (
    proposal === undefined ||
    state.fleet !== undefined ||
    now - state.proposed < proposeSpan ||
    now - witness.born > foundSpan
  )
    return step(state);
  const word = {
    kind: 'found' as const,
    id: toCallId(`${proposal.fleet}.${state.member.node}`),
    fleet: proposal.fleet,
    stores: [...proposal.stores],
    electorate: proposal.electorate,
  };
  return step(
    { ...state, proposed: now },
    ...proposal.stores.map((one) => send(one.address, word)),
  );
};

const onTick = (state: Registry, now: Moment): Done => {
  let next: Done = step(state);
  if (now - state.tuned >= tuneSpan) next = join(next.effects, tune(next.state, now));
  if (now - state.gossiped >= gossipSpan) {
    const word = gossip(next.state, now);
    next = join(
      next.effects,
      step(
        {
          ...next.state,
          gossiped: now,
          origins: forget(next.state.origins, now),
          sessions: sift(next.state.sessions, (one) => now - one.at < forgetSpan),
        },
        ...colleagues(next.state, now).map((to) => send(to, word)),
      ),
    );
  }
  const open = new Set(vacant(next.state, now));
  if (open.size !== state.lapsed.size || [...open].some((one) => !state.lapsed.has(one))) {
    const fresh = [...open].some((one) => !state.lapsed.has(one));
    next = step({ ...next.state, lapsed: open }, ...next.effects);
    // Whoever may take a duty over hears of it at once.
    if (fresh) next = join(next.effects, push(next.state, next.state.feed.top, now));
  }
  next = join(next.effects, propose(next.state, now));
  if (now - state.told >= rosterSpan) {
    const near = [...next.state.sessions.values()].filter(
      (one) =>
        alive(one, now) && one.member.role !== 'registry' && one.registry === state.member.node,
    );
    next = join(
      next.effects,
      step(
        { ...next.state, told: now },
        ...tellNodes(
          next.state,
          near.map((one) => one.member.address),
          now,
        ),
      ),
    );
  }
  next = join(next.effects, passDepartures(next.state, now));
  return join(next.effects, chase(next.state, now));
};

const onHint = (state: Registry, word: FrameOf<'hint'>, now: Moment): Done => {
  const noted = learnHint(state, word);
  if (
    !state.eager ||
    feedAge(state, now) !== undefined ||
    (state.fleet !== undefined && state.fleet !== word.fleet)
  )
    return step(noted);
  const learned = learnAll(noted.origins, word.origins, now);
  const next = { ...noted, origins: learned.origins };
  return step(next, ...(learned.news ? tellNodes(next, audience(next, now), now) : []));
};

const onFrame = (state: Registry, from: Colleague, frame: Frame, now: Moment): Done => {
  switch (frame.kind) {
    case 'hail':
      return onHail(state, from, frame, now);
    case 'ballot':
      return onBallot(state, from, frame, now);
    case 'gossip':
      return onGossip(state, frame, now);
    case 'news':
      return onNews(state, from, frame, now);
    case 'noted':
      return onNoted(state, frame);
    case 'feed':
      return onFeed(state, frame, now);
    case 'want':
      return primaryHolder(state)?.node === frame.node
        ? onStoreWant(state, frame, from.address)
        : onWant(state, from, frame, now);
    case 'piece':
      return onPiece(state, frame);
    case 'called':
      return onCalled(state, frame);
    case 'founded':
      return onFounded(state, frame);
    case 'hint':
      return onHint(state, frame, now);
    default:
      return step(
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
export const registryStep = (state: Registry, event: RegistryEvent): Done => {
  switch (event.kind) {
    case 'tick':
      return onTick(state, event.now);
    case 'frame':
      return onFrame(state, event.from, event.frame, event.now);
    case 'gone':
      return step(state);
    case 'outside':
      return onOutside(state, event.ref, event.call, event.now);
    case 'stop':
      return step({ ...state, stopping: true });
  }
};

export { newRegistry };
