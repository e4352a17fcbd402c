/**
 * Announcements of origins. A departure (leaving or gone) is confirmed to the origin only after a
 * majority of the voting registries has acknowledged it, so that it survives the loss of this one.
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

/** Time within which a majority must acknowledge a departure. */
const confirmTimeoutMs = 700;
const resendIntervalMs = 150;
/** Interval at which origins should announce themselves. */
const announceIntervalMs = 2000;
const retryAfterMs = 300;

const announcedReply = (correlationId: number): RegistryEffect =>
  reply(correlationId, 200, { kind: 'announced', againMs: announceIntervalMs });

/** Whether a majority of the voters, this registry included, knows of a departure. */
const isDurable = (state: RegistryState, departure: Departure): boolean => {
  const { electorate } = state;
  if (electorate === undefined) return true;
  const informed = electorate.members.filter(
    (voter) => voter.node === state.member.node || departure.acknowledgedBy.has(voter.node),
  );
  return informed.length >= quorumSize(electorate.members.length);
};

/** Frames with a departure to every voter that has not acknowledged it. */
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

/** Stores a departure; marks it as confirmed and replies to its waiters if it has become durable. */
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

/** Adds a waiter to a departure, and sends the departure to the other voters if it is new. */
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

/** Handles the announcement of an origin that is up, leaving or gone. */
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
  const knownOrigin = state.origins.get(origin.instance);
  if (knownOrigin !== undefined && knownOrigin.state !== 'up' && origin.state === 'up') {
    return transition(
      state,
      reply(correlationId, 409, {
        kind: 'stale',
        text: `instance ${origin.instance} is ${knownOrigin.state} for good; a new run takes a new instance id`,
      }),
    );
  }
  const learned = learnOrigin(state.origins, { ...origin, lastHeardAt: now });
  const next = { ...state, origins: learned.origins };
  const messages = learned.hasChanged ? broadcast(next, now) : [];
  return origin.state === 'up'
    ? transition(next, ...messages, announcedReply(correlationId))
    : prependEffects(messages, recordDeparture(next, correlationId, origin, now));
};

/** Handles a departure sent by another registry: records and acknowledges it. */
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
    ...(learned.hasChanged ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};

/** Handles a voter's acknowledgement of a departure; replies to the waiters once a majority has it. */
export const onDepartureAck = (
  state: RegistryState,
  frame: FrameOf<'departure-ack'>,
): RegistryTransition => {
  const departure = state.departures.get(frame.instance);
  if (departure === undefined || departure.isConfirmed) return transition(state);
  // Ignores the acknowledgement of an earlier state, such as leaving before gone.
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

/** Resends a departure if it is due, and replies with an error to waiters that timed out. */
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

/** Handles a tick: resends departures, times out waiters, and drops departures of expired origins. */
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
