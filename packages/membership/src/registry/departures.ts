/**
 * Announcements of origins. A departure (leaving or gone) is confirmed to the origin only after a majority of the
 * voting registries knows it, so that it survives the loss of this one, and the primary has recorded it, so that it
 * survives the loss of all processes.
 */

import {
  type InstanceId,
  type Timestamp,
  withoutEntry,
  prependEffects,
  withEntry,
  transition,
} from '@switchwheel/types';
import { type FrameOf, type OriginInstance, type Peer, send } from '@switchwheel/transport';
import { quorumSize } from '@switchwheel/election';
import { learnOrigin, learnOrigins, departureRank, originRecord } from '../origins/origins.js';
import { type ExternalRequest, type RegistryEffect, reply } from './event.js';
import { broadcast, broadcastTargets, sendMemberList } from './messages.js';
import { feedAgeMs, hasMajorityContact, primaryHolder } from './queries.js';
import type { Departure, RegistryState, RegistryTransition } from './state.js';

type AnnouncedOrigin = Extract<ExternalRequest, { verb: 'announce' }>['origin'];

/** Time within which a departure must become durable. */
const confirmTimeoutMs = 700;
/** Time in which a primary of an older version, which reports no records, has updated the record of an origin. */
const unreportedRecordMs = 600;
const resendIntervalMs = 150;
/** Interval at which origins should announce themselves. */
const announceIntervalMs = 2000;
const retryAfterMs = 300;

const announcedReply = (correlationId: number): RegistryEffect =>
  reply(correlationId, 200, { kind: 'announced', againMs: announceIntervalMs });

/** Whether a majority of the voters, this registry included, knows of a departure. */
const isKnownToMajority = (state: RegistryState, departure: Departure): boolean => {
  const { electorate } = state;
  // A registry that doesn't know the electorate can't tell how many make a majority.
  if (electorate === undefined) return false;
  const informed = electorate.members.filter(
    (voter) => voter.node === state.member.node || departure.acknowledgedBy.has(voter.node),
  );
  return informed.length >= quorumSize(electorate.members.length);
};

/**
 * Whether a departure is on the disks of the in-sync set, as the primary's feed tells. A primary of an older version
 * tells nothing; it deletes the record of the origin at its next check.
 */
const isRecorded = (
  state: RegistryState,
  departed: Pick<OriginInstance, 'instance' | 'state'>,
  announcedAt: Timestamp,
  now: Timestamp,
): boolean => {
  const { recordsDepartures, departures } = state.feed;
  if (!recordsDepartures)
    return feedAgeMs(state, now) !== undefined && now - announcedAt >= unreportedRecordMs;
  const recorded = departures.get(departed.instance);
  return recorded !== undefined && departureRank(recorded) >= departureRank(departed.state);
};

/** Whether a departure outlives the loss of any one machine and that of all processes. */
const isDurable = (
  state: RegistryState,
  instance: InstanceId,
  departure: Departure,
  now: Timestamp,
): boolean =>
  isKnownToMajority(state, departure) &&
  isRecorded(state, { instance, state: departure.state }, departure.announcedAt, now);

/** Frames with a departure to every voter that has not acknowledged it, and to the primary. */
const departureFrames = (
  state: RegistryState,
  instance: InstanceId,
  departure: Departure,
  now: Timestamp,
): readonly RegistryEffect[] => {
  const origin = state.origins.get(instance);
  if (origin === undefined) return [];
  const voters = state.electorate?.members ?? [];
  const primary = primaryHolder(state);
  const addresses = [
    ...voters
      .filter(({ node }) => node !== state.member.node && !departure.acknowledgedBy.has(node))
      .map(({ address }) => address),
    ...(primary === undefined ? [] : [primary.address]),
  ];
  const frame: FrameOf<'departure'> = {
    kind: 'departure',
    origin: originRecord(origin, now),
    awaitsRecord: true,
  };
  return addresses.map((address) => send(address, frame));
};

/** Stores a departure; marks it as confirmed and replies to its waiters if it has become durable. */
const replyIfDurable = (
  state: RegistryState,
  instance: InstanceId,
  departure: Departure,
  now: Timestamp,
): RegistryTransition => {
  const isNowDurable = !departure.isConfirmed && isDurable(state, instance, departure, now);
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

/** Adds a waiter to a departure, and sends the departure to the voters and the primary if it is new. */
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
    return replyIfDurable(state, origin.instance, { ...before, waiters }, now);
  }
  const departure: Departure = {
    state: origin.state,
    isConfirmed: false,
    announcedAt: now,
    sentAt: now,
    acknowledgedBy: new Set(),
    waiters,
  };
  return prependEffects(
    departureFrames(state, origin.instance, departure, now),
    replyIfDurable(state, origin.instance, departure, now),
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

/**
 * Handles a departure sent by another registry: stores and acknowledges it. A sender that doesn't await the record
 * itself sends the departure again until it is recorded.
 */
export const onDeparture = (
  state: RegistryState,
  from: Peer,
  { origin, awaitsRecord }: FrameOf<'departure'>,
  now: Timestamp,
): RegistryTransition => {
  const learned = learnOrigins(state.origins, [origin], now);
  const next = { ...state, origins: learned.origins };
  const heardAt = learned.origins.get(origin.instance)?.lastHeardAt ?? now;
  const acknowledgement: RegistryEffect = send(from.address, {
    kind: 'departure-ack',
    node: state.member.node,
    instance: origin.instance,
    state: origin.state,
  });
  const mayAcknowledge = awaitsRecord === true || isRecorded(state, origin, heardAt, now);
  return transition(
    next,
    ...(mayAcknowledge ? [acknowledgement] : []),
    ...(learned.hasChanged ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};

/** Handles a voter's acknowledgement of a departure; replies to the waiters once the departure is durable. */
export const onDepartureAck = (
  state: RegistryState,
  frame: FrameOf<'departure-ack'>,
  now: Timestamp,
): RegistryTransition => {
  const departure = state.departures.get(frame.instance);
  if (departure === undefined || departure.isConfirmed) return transition(state);
  // Ignores the acknowledgement of an earlier state, such as leaving before gone.
  if (departureRank(frame.state) < departureRank(departure.state)) return transition(state);
  const acknowledgedBy = new Set([...departure.acknowledgedBy, frame.node]);
  return replyIfDurable(state, frame.instance, { ...departure, acknowledgedBy }, now);
};

/** Handles the departures that the primary has recorded: learns them, and replies to those who wait for their record. */
export const onRecordedDepartures = (
  state: RegistryState,
  recorded: readonly OriginInstance[],
  now: Timestamp,
): RegistryTransition => {
  const learned = learnOrigins(state.origins, recorded, now);
  const informed = { ...state, origins: learned.origins };
  let next: RegistryTransition = transition(
    informed,
    ...(learned.hasChanged ? sendMemberList(informed, broadcastTargets(informed, now), now) : []),
  );
  for (const [instance, departure] of state.departures)
    if (!departure.isConfirmed)
      next = prependEffects(next.effects, replyIfDurable(next.state, instance, departure, now));
  return next;
};

const notConfirmed = (correlationId: number): RegistryEffect =>
  reply(correlationId, 503, {
    kind: 'unready',
    text: 'not enough of the core confirmed it; announce again, here or to another',
    retryAfterMs,
  });

/** Replies to the waiters of a departure that is durable or that timed out, and resends it if it is due. */
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
  return prependEffects(
    [
      ...departure.waiters.filter(isLate).map((waiter) => notConfirmed(waiter.correlationId)),
      ...(isDue ? departureFrames(state, instance, next, now) : []),
    ],
    replyIfDurable(state, instance, next, now),
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
