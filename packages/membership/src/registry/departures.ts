import {
  type InstanceId,
  type Timestamp,
  type Transition,
  withoutEntry,
  prependEffects,
  withEntry,
  transition,
} from '@switchwheel/types';
import { type Peer, type FrameOf, send } from '@switchwheel/transport';
import { quorumSize } from '@switchwheel/election';
import { learnOrigin, learnOrigins, departureRank, originRecord } from '../origins/origins.js';
import { type ExternalRequest, type RegistryEffect, reply } from './event.js';
import type { Departure, RegistryState } from './state.js';
import { broadcastTargets, hasMajorityContact, broadcast, sendMemberList } from './queries.js';

type RegistryTransition = Transition<RegistryState, RegistryEffect>;
type AnnouncedOrigin = Extract<ExternalRequest, { verb: 'announce' }>['origin'];
/** How long a majority may take to confirm that an origin leaves. */
const confirmTimeoutMs = 700;
const resendIntervalMs = 150;

const announcedReply = (ref: number): RegistryEffect =>
  reply(ref, 200, { kind: 'announced', againMs: 2000 });

/** Whether enough registries know of a departure for the word to outlive this one. */
const isDurable = (state: RegistryState, one: Departure): boolean => {
  const set = state.electorate;
  if (set === undefined) return true;
  const knowing = set.members.filter(
    (row) => row.node === state.member.node || one.acknowledgedBy.has(row.node),
  );
  return knowing.length >= quorumSize(set.members.length);
};

const departureFrames = (
  state: RegistryState,
  instance: InstanceId,
  one: Departure,
  now: Timestamp,
): readonly RegistryEffect[] => {
  const known = state.origins.get(instance);
  const members = state.electorate?.members ?? [];
  return known === undefined
    ? []
    : members
        .filter((row) => row.node !== state.member.node && !one.acknowledgedBy.has(row.node))
        .map((row) => send(row.address, { kind: 'departure', origin: originRecord(known, now) }));
};

/** Tells all who wait for a departure once it lasts. */
const replyIfDurable = (
  state: RegistryState,
  instance: InstanceId,
  one: Departure,
): RegistryTransition => {
  const whole = !one.isConfirmed && isDurable(state, one);
  const next: Departure = whole ? { ...one, isConfirmed: true, waiters: [] } : one;
  return transition(
    { ...state, departures: withEntry(state.departures, instance, next) },
    ...(whole ? one.waiters.map((row) => announcedReply(row.ref)) : []),
  );
};

/** An origin leaves or is gone: told as known only once a majority of the voters' registries took the word. */
const recordDeparture = (
  state: RegistryState,
  ref: number,
  origin: AnnouncedOrigin,
  now: Timestamp,
): RegistryTransition => {
  const before = state.departures.get(origin.instance);
  if (before !== undefined && departureRank(before.state) >= departureRank(origin.state)) {
    if (before.isConfirmed) return transition(state, announcedReply(ref));
    return transition({
      ...state,
      departures: withEntry(state.departures, origin.instance, {
        ...before,
        waiters: [...before.waiters, { ref, since: now }],
      }),
    });
  }
  const one: Departure = {
    state: origin.state,
    isConfirmed: false,
    sentAt: now,
    acknowledgedBy: new Set(),
    waiters: [...(before?.waiters ?? []), { ref, since: now }],
  };
  return prependEffects(
    departureFrames(state, origin.instance, one, now),
    replyIfDurable(state, origin.instance, one),
  );
};

/** An origin tells of itself. */
export const onAnnouncement = (
  state: RegistryState,
  ref: number,
  origin: AnnouncedOrigin,
  now: Timestamp,
): RegistryTransition => {
  if (!hasMajorityContact(state, now)) {
    return transition(
      state,
      reply(ref, 503, {
        kind: 'unready',
        text: 'this registry is not in touch with the core; announce to another',
      }),
    );
  }
  const known = state.origins.get(origin.instance);
  if (known !== undefined && known.state !== 'up' && origin.state === 'up') {
    return transition(
      state,
      reply(ref, 409, {
        kind: 'stale',
        text: `instance ${origin.instance} is ${known.state} for good; a new run takes a new instance id`,
      }),
    );
  }
  const learned = learnOrigin(state.origins, { ...origin, lastHeardAt: now });
  const next = { ...state, origins: learned.origins };
  const told = learned.news ? broadcast(next, now) : [];
  return origin.state === 'up'
    ? transition(next, ...told, announcedReply(ref))
    : prependEffects(told, recordDeparture(next, ref, origin, now));
};

/** A peer was told that an origin leaves, and wants to know that this registry took the word. */
export const onDeparture = (
  state: RegistryState,
  from: Peer,
  word: FrameOf<'departure'>,
  now: Timestamp,
): RegistryTransition => {
  const learned = learnOrigins(state.origins, [word.origin], now);
  const next = { ...state, origins: learned.origins };
  const noted: RegistryEffect = send(from.address, {
    kind: 'departure-ack',
    node: state.member.node,
    instance: word.origin.instance,
    state: word.origin.state,
  });
  return transition(
    next,
    noted,
    ...(learned.news ? sendMemberList(next, broadcastTargets(next, now), now) : []),
  );
};

export const onDepartureAck = (
  state: RegistryState,
  word: FrameOf<'departure-ack'>,
): RegistryTransition => {
  const one = state.departures.get(word.instance);
  if (one === undefined || one.isConfirmed || departureRank(word.state) < departureRank(one.state))
    return transition(state);
  return replyIfDurable(state, word.instance, {
    ...one,
    acknowledgedBy: new Set([...one.acknowledgedBy, word.node]),
  });
};

/** Lets time pass over departures: asks again, ends what took too long, forgets those of origins long forgotten. */
export const tickDepartures = (state: RegistryState, now: Timestamp): RegistryTransition => {
  let next: RegistryTransition = transition(state);
  for (const [instance, one] of state.departures) {
    if (!state.origins.has(instance) && one.waiters.length === 0) {
      next = transition(
        { ...next.state, departures: withoutEntry(next.state.departures, instance) },
        ...next.effects,
      );
      continue;
    }
    if (one.isConfirmed || one.waiters.length === 0) continue;
    const late = one.waiters.filter((row) => now - row.since > confirmTimeoutMs);
    const again = now - one.sentAt > resendIntervalMs;
    const kept: Departure = {
      ...one,
      sentAt: again ? now : one.sentAt,
      waiters: one.waiters.filter((row) => !late.includes(row)),
    };
    const told = late.map((row) =>
      reply(row.ref, 503, {
        kind: 'unready',
        text: 'not enough of the core confirmed it; announce again, here or to another',
        retryAfterMs: 300,
      }),
    );
    next = transition(
      { ...next.state, departures: withEntry(next.state.departures, instance, kept) },
      ...next.effects,
      ...told,
      ...(again ? departureFrames(state, instance, kept, now) : []),
    );
  }
  return next;
};
