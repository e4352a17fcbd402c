/**
 * Announcements of origins. That an origin leaves or is gone is answered as done only once a
 * majority of the voting registries has acknowledged it: it then survives the loss of this one.
 */

import {
  type InstanceId,
  type Timestamp,
  withoutEntry,
  prependEffects,
  withEntry,
  transition,
} from '@switchwheel/types';
import { type FrameOf, type Peer, send } from '@switchwheel/transport';
import { quorumSize } from '@switchwheel/election';
import { learnOrigin, learnOrigins, departureRank, originRecord } from '../origins/origins.js';
import { type ExternalRequest, type RegistryEffect, reply } from './event.js';
import { broadcast, broadcastTargets, sendMemberList } from './messages.js';
import { hasMajorityContact } from './queries.js';
import type { Departure, RegistryState, RegistryTransition } from './state.js';

type AnnouncedOrigin = Extract<ExternalRequest, { verb: 'announce' }>['origin'];

/** How long a majority may take to acknowledge a departure. */
const confirmTimeoutMs = 700;
const resendIntervalMs = 150;
/** How often an origin is to announce itself. */
const announceIntervalMs = 2000;
const retryAfterMs = 300;

const announcedReply = (correlationId: number): RegistryEffect =>
  reply(correlationId, 200, { kind: 'announced', againMs: announceIntervalMs });

/** Whether enough registries know of a departure for it to survive the loss of this one. */
const isDurable = (state: RegistryState, departure: Departure): boolean => {
  const { electorate } = state;
  if (electorate === undefined) return true;
  const knowing = electorate.members.filter(
    (voter) => voter.node === state.member.node || departure.acknowledgedBy.has(voter.node),
  );
  return knowing.length >= quorumSize(electorate.members.length);
};

/** The departure, to every voter that has not acknowledged it. */
const departureFrames = (
  state: RegistryState,
  instance: InstanceId,
  departure: Departure,
  now: Timestamp,
): readonly RegistryEffect[] => {
  const origin = state.origins.get(instance);
  if (origin === undefined) return [];
  const voters = state.electorate?.members ?? [];
  return voters
    .filter(({ node }) => node !== state.member.node && !departure.acknowledgedBy.has(node))
    .map(({ address }) => send(address, { kind: 'departure', origin: originRecord(origin, now) }));
};

/** Answers all who wait for a departure once it is durable. */
const replyIfDurable = (
  state: RegistryState,
  instance: InstanceId,
  departure: Departure,
): RegistryTransition => {
  const isNowDurable = !departure.isConfirmed && isDurable(state, departure);
  const next: Departure = isNowDurable
    ? { ...departure, isConfirmed: true, waiters: [] }
    : departure;
  return transition(
    { ...state, departures: withEntry(state.departures, instance, next) },
    ...(isNowDurable
      ? departure.waiters.map((waiter) => announcedReply(waiter.correlationId))
      : []),
  );
};

/** Notes who waits for a departure, and begins to spread it if it is new. */
const recordDeparture = (
  state: RegistryState,
  correlationId: number,
  origin: AnnouncedOrigin,
  now: Timestamp,
): RegistryTransition => {
  const before = state.departures.get(origin.instance);
  const waiters = [...(before?.waiters ?? []), { correlationId, since: now }];
  if (before !== undefined && departureRank(before.state) >= departureRank(origin.state)) {
    if (before.isConfirmed) return transition(state, announcedReply(correlationId));
    return transition({
      ...state,
      departures: withEntry(state.departures, origin.instance, { ...before, waiters }),
    });
  }
  const departure: Departure = {
    state: origin.state,
    isConfirmed: false,
    sentAt: now,
    acknowledgedBy: new Set(),
    waiters,
  };
  return prependEffects(
    departureFrames(state, origin.instance, departure, now),
    replyIfDurable(state, origin.instance, departure),
  );
};

/** An origin announces itself, that it leaves, or that it is gone. */
export const onAnnouncement = (
  state: RegistryState,
  correlationId: number,
  origin: AnnouncedOrigin,
  now: Timestamp,
): RegistryTransition => {
  if (!hasMajorityContact(state, now)) {
    return transition(
      state,
      reply(correlationId, 503, {
        kind: 'unready',
        text: 'this registry is not in touch with the core; announce to another',
      }),
    );
  }
  const known = state.origins.get(origin.instance);
  if (known !== undefined && known.state !== 'up' && origin.state === 'up') {
    return transition(
      state,
      reply(correlationId, 409, {
        kind: 'stale',
        text: `instance ${origin.instance} is ${known.state} for good; a new run takes a new instance id`,
      }),
    );
  }
  const learned = learnOrigin(state.origins, { ...origin, lastHeardAt: now });
  const next = { ...state, origins: learned.origins };
  const messages = learned.news ? broadcast(next, now) : [];
  return origin.state === 'up'
    ? transition(next, ...messages, announcedReply(correlationId))
    : prependEffects(messages, recordDeparture(next, correlationId, origin, now));
};

/** Another registry spreads a departure: it is taken in and acknowledged. */
export const onDeparture = (
  state: RegistryState,
  from: Peer,
  frame: FrameOf<'departure'>,
  now: Timestamp,
): RegistryTransition => {
  const learned = learnOrigins(state.origins, [frame.origin], now);
  const next = { ...state, origins: learned.origins };
  const acknowledgement: RegistryEffect = send(from.address, {
    kind: 'departure-ack',
    node: state.member.node,
    instance: frame.origin.instance,
    state: frame.origin.state,
  });
  return transition(
    next,
    acknowledgement,
    ...(learned.news ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};

/** A voter has a departure: those who wait are answered once a majority has it. */
export const onDepartureAck = (
  state: RegistryState,
  frame: FrameOf<'departure-ack'>,
): RegistryTransition => {
  const departure = state.departures.get(frame.instance);
  if (departure === undefined || departure.isConfirmed) return transition(state);
  // The acknowledgement of an earlier state, such as leaving before gone, counts for nothing.
  if (departureRank(frame.state) < departureRank(departure.state)) return transition(state);
  return replyIfDurable(state, frame.instance, {
    ...departure,
    acknowledgedBy: new Set([...departure.acknowledgedBy, frame.node]),
  });
};

const notConfirmed = (correlationId: number): RegistryEffect =>
  reply(correlationId, 503, {
    kind: 'unready',
    text: 'not enough of the core confirmed it; announce again, here or to another',
    retryAfterMs,
  });

/** Sends one departure again if it is due, and ends what waits for it for too long. */
const tickDeparture = (
  state: RegistryState,
  instance: InstanceId,
  departure: Departure,
  now: Timestamp,
): RegistryTransition => {
  const isLate = ({ since }: Departure['waiters'][number]): boolean =>
    now - since > confirmTimeoutMs;
  const isDue = now - departure.sentAt > resendIntervalMs;
  const next: Departure = {
    ...departure,
    sentAt: isDue ? now : departure.sentAt,
    waiters: departure.waiters.filter((waiter) => !isLate(waiter)),
  };
  return transition(
    { ...state, departures: withEntry(state.departures, instance, next) },
    ...departure.waiters.filter(isLate).map((waiter) => notConfirmed(waiter.correlationId)),
    ...(isDue ? departureFrames(state, instance, next, now) : []),
  );
};

/** Lets time pass over departures; those of origins that are forgotten are forgotten too. */
export const tickDepartures = (state: RegistryState, now: Timestamp): RegistryTransition => {
  let next: RegistryTransition = transition(state);
  for (const [instance, departure] of state.departures) {
    if (departure.waiters.length === 0) {
      if (state.origins.has(instance)) continue;
      const departures = withoutEntry(next.state.departures, instance);
      next = transition({ ...next.state, departures }, ...next.effects);
      continue;
    }
    if (departure.isConfirmed) continue;
    next = prependEffects(next.effects, tickDeparture(next.state, instance, departure, now));
  }
  return next;
};
