import { type InstanceId, type Moment, type Step, drop, join, put, step } from '@switchwheel/types';
import { type Colleague, type FrameOf, send } from '@switchwheel/transport';
import { majority } from '@switchwheel/election';
import { learn, learnAll, rankOf, tellOrigin } from '../origins/origins.js';
import { type Outside, type RegistryEffect, reply } from './event.js';
import type { Departure, Registry } from './state.js';
import { audience, inTouch, spread, tellNodes } from './words.js';

type Done = Step<Registry, RegistryEffect>;
type Announced = Extract<Outside, { verb: 'announce' }>['origin'];
/** How long a majority may take to confirm that an origin leaves. */
const confirmSpan = 700;
const resend = 150;

const announced = (ref: number): RegistryEffect =>
  reply(ref, 200, { kind: 'announced', againMs: 2000 });

/** Whether enough registries know of a departure for the word to outlive this one. */
const lasts = (state: Registry, one: Departure): boolean => {
  const set = state.electorate;
  if (set === undefined) return true;
  const knowing = set.members.filter(
    (row) => row.node === state.member.node || one.noted.has(row.node),
  );
  return knowing.length >= majority(set.members.length);
};

const news = (
  state: Registry,
  instance: InstanceId,
  one: Departure,
  now: Moment,
): readonly RegistryEffect[] => {
  const known = state.origins.get(instance);
  const members = state.electorate?.members ?? [];
  return known === undefined
    ? []
    : members
        .filter((row) => row.node !== state.member.node && !one.noted.has(row.node))
        .map((row) => send(row.address, { kind: 'news', origin: tellOrigin(known, now) }));
};

/** Tells all who wait for a departure once it lasts. */
const settle = (state: Registry, instance: InstanceId, one: Departure): Done => {
  const whole = !one.confirmed && lasts(state, one);
  const next: Departure = whole ? { ...one, confirmed: true, waiting: [] } : one;
  return step(
    { ...state, departures: put(state.departures, instance, next) },
    ...(whole ? one.waiting.map((row) => announced(row.ref)) : []),
  );
};

/** An origin leaves or is gone: told as known only once a majority of the witnesses' registries took the word. */
const depart = (state: Registry, ref: number, origin: Announced, now: Moment): Done => {
  const before = state.departures.get(origin.instance);
  if (before !== undefined && rankOf(before.state) >= rankOf(origin.state)) {
    if (before.confirmed) return step(state, announced(ref));
    return step({
      ...state,
      departures: put(state.departures, origin.instance, {
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
  return join(news(state, origin.instance, one, now), settle(state, origin.instance, one));
};

/** An origin tells of itself. */
export const announce = (state: Registry, ref: number, origin: Announced, now: Moment): Done => {
  if (!inTouch(state, now)) {
    return step(
      state,
      reply(ref, 503, {
        kind: 'unready',
        text: 'this registry is not in touch with the core; announce to another',
      }),
    );
  }
  const known = state.origins.get(origin.instance);
  if (known !== undefined && known.state !== 'up' && origin.state === 'up') {
    return step(
      state,
      reply(ref, 409, {
        kind: 'stale',
        text: `instance ${origin.instance} is ${known.state} for good; a new run takes a new instance id`,
      }),
    );
  }
  const learned = learn(state.origins, { ...origin, at: now });
  const next = { ...state, origins: learned.origins };
  const told = learned.news ? spread(next, now) : [];
  return origin.state === 'up'
    ? step(next, ...told, announced(ref))
    : join(told, depart(next, ref, origin, now));
};

/** A colleague was told that an origin leaves, and wants to know that this registry took the word. */
export const onNews = (
  state: Registry,
  from: Colleague,
  word: FrameOf<'news'>,
  now: Moment,
): Done => {
  const learned = learnAll(state.origins, [word.origin], now);
  const next = { ...state, origins: learned.origins };
  const noted: RegistryEffect = send(from.address, {
    kind: 'noted',
    node: state.member.node,
    instance: word.origin.instance,
    state: word.origin.state,
  });
  return step(next, noted, ...(learned.news ? tellNodes(next, audience(next, now), now) : []));
};

export const onNoted = (state: Registry, word: FrameOf<'noted'>): Done => {
  const one = state.departures.get(word.instance);
  if (one === undefined || one.confirmed || rankOf(word.state) < rankOf(one.state))
    return step(state);
  return settle(state, word.instance, { ...one, noted: new Set([...one.noted, word.node]) });
};

/** Lets time pass over departures: asks again, ends what took too long, forgets those of origins long forgotten. */
export const passDepartures = (state: Registry, now: Moment): Done => {
  let next: Done = step(state);
  for (const [instance, one] of state.departures) {
    if (!state.origins.has(instance) && one.waiting.length === 0) {
      next = step(
        { ...next.state, departures: drop(next.state.departures, instance) },
        ...next.effects,
      );
      continue;
    }
    if (one.confirmed || one.waiting.length === 0) continue;
    const late = one.waiting.filter((row) => now - row.since > confirmSpan);
    const again = now - one.sent > resend;
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
    next = step(
      { ...next.state, departures: put(next.state.departures, instance, kept) },
      ...next.effects,
      ...told,
      ...(again ? news(state, instance, kept, now) : []),
    );
  }
  return next;
};
