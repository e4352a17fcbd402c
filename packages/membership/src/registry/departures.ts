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
import { majority } from '@switchwheel/election';
import { learn, learnAll, rankOf, tellOrigin } from '../origins/origins.js';
import { type Outside, type RegistryEffect, reply } from './event.js';
import type { Departure, Registry } from './state.js';
import { broadcastTargets, hasMajorityContact, broadcast, sendMemberList } from './queries.js';

type Done = Transition<Registry, RegistryEffect>;
type Announced = Extract<Outside, { verb: 'announce' }>['origin'];
/** How long a majority may take to confirm that an origin leaves. */
const confirmTimeout = 700;
const resendInterval = 150;

const announcedReply = (ref: number): RegistryEffect =>
  reply(ref, 200, { kind: 'announced', againMs: 2000 });

/** Whether enough registries know of a departure for the word to outlive this one. */
const isDurable = (state: Registry, one: Departure): boolean => {
  const set = state.electorate;
  if (set === undefined) return true;
  const knowing = set.members.filter(
    (row) => row.node === state.member.node || one.noted.has(row.node),
  );
  return knowing.length >= majority(set.members.length);
};

const departureFrames = (
  state: Registry,
  instance: InstanceId,
  one: Departure,
  now: Timestamp,
): readonly RegistryEffect[] => {
  const known = state.origins.get(instance);
  const members = state.electorate?.members ?? [];
  return known === undefined
    ? []
    : members
        .filter((row) => row.node !== state.member.node && !one.noted.has(row.node))
        .map((row) => send(row.address, { kind: 'departure', origin: tellOrigin(known, now) }));
};

/** Tells all who wait for a departure once it lasts. */
const replyIfDurable = (state: Registry, instance: InstanceId, one: Departure): Done => {
  const whole = !one.confirmed && isDurable(state, one);
  const next: Departure = whole ? { ...one, confirmed: true, waiting: [] } : one;
  return transition(
    { ...state, departures: withEntry(state.departures, instance, next) },
    ...(whole ? one.waiting.map((row) => announcedReply(row.ref)) : []),
  );
};

/** An origin leaves or is gone: told as known only once a majority of the voters' registries took the word. */
const recordDeparture = (state: Registry, ref: number, origin: Announced, now: Timestamp): Done => {
  const before = state.departures.get(origin.instance);
  if (before !== undefined && rankOf(before.state) >= rankOf(origin.state)) {
    if (before.confirmed) return transition(state, announcedReply(ref));
    return transition({
      ...state,
      departures: withEntry(state.departures, origin.instance, {
        ...before,
        waiting: [...before.waiting, { ref, since: now }],
      }),
    });
  }
  const one: Departure = {
    state: origin.state,
    confirmed: false,
    sent: now,
    noted: new Set(),
    waiting: [...(before?.waiting ?? []), { ref, since: now }],
  };
  return prependEffects(
    departureFrames(state, origin.instance, one, now),
    replyIfDurable(state, origin.instance, one),
  );
};

/** An origin tells of itself. */
export const announce = (state: Registry, ref: number, origin: Announced, now: Timestamp): Done => {
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
  const learned = learn(state.origins, { ...origin, at: now });
  const next = { ...state, origins: learned.origins };
  const told = learned.news ? broadcast(next, now) : [];
  return origin.state === 'up'
    ? transition(next, ...told, announcedReply(ref))
    : prependEffects(told, recordDeparture(next, ref, origin, now));
};

/** A peer was told that an origin leaves, and wants to know that this registry took the word. */
export const onDeparture = (
  state: Registry,
  from: Peer,
  word: FrameOf<'departure'>,
  now: Timestamp,
): Done => {
  const learned = learnAll(state.origins, [word.origin], now);
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

export const onDepartureAck = (state: Registry, word: FrameOf<'departure-ack'>): Done => {
  const one = state.departures.get(word.instance);
  if (one === undefined || one.confirmed || rankOf(word.state) < rankOf(one.state))
    return transition(state);
  return replyIfDurable(state, word.instance, {
    ...one,
    noted: new Set([...one.noted, word.node]),
  });
};

/** Lets time pass over departures: asks again, ends what took too long, forgets those of origins long forgotten. */
export const tickDepartures = (state: Registry, now: Timestamp): Done => {
  let next: Done = transition(state);
  for (const [instance, one] of state.departures) {
    if (!state.origins.has(instance) && one.waiting.length === 0) {
      next = transition(
        { ...next.state, departures: withoutEntry(next.state.departures, instance) },
        ...next.effects,
      );
      continue;
    }
    if (one.confirmed || one.waiting.length === 0) continue;
    const late = one.waiting.filter((row) => now - row.since > confirmTimeout);
    const again = now - one.sent > resendInterval;
    const kept: Departure = {
      ...one,
      sent: again ? now : one.sent,
      waiting: one.waiting.filter((row) => !late.includes(row)),
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
