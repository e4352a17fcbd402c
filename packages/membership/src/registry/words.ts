import {
  type Address,
  type Moment,
  between,
  noGeneration,
  primary,
  toSpan,
} from '@switchwheel/types';
import {
  type Electorate,
  type FrameOf,
  type Holder,
  type Member,
  type Report,
  type Session,
  type WireEffect,
  send,
} from '@switchwheel/transport';
import { majority, memories } from '@switchwheel/election';
import { tellOrigins } from '../origins/origins.js';
import type { Known, Registry } from './state.js';

/** How long a session stands without a word of its node. */
export const sessionSpan = 1500;
/** How old a registry's word of the primary may be to count. */
export const freshSpan = 1200;

export const alive = (one: Known, now: Moment): boolean => one.open && now - one.at < sessionSpan;

export const plainReport = (ready: boolean): Report => ({
  generation: noGeneration,
  phase: 'none',
  ready,
  fitness: { name: 'process', fit: true, text: '', parts: [] },
});

const tellSession = (one: Known, now: Moment): Session => ({
  member: one.member,
  report: one.report,
  registry: one.registry,
  seq: one.seq,
  age: between(one.at, now),
  open: one.open,
});

/** Every node in touch, this registry and its colleagues among them. */
export const members = (state: Registry, now: Moment): Member[] => [
  state.member,
  ...[...state.sessions.values()].filter((one) => alive(one, now)).map((one) => one.member),
];

export const colleagues = (state: Registry, now: Moment): readonly Address[] => {
  const known = [...state.sessions.values()]
    .filter((one) => one.member.role === 'registry' && now - one.at < 60_000)
    .map((one) => one.member.address);
  const seated = state.electorate?.members.map((one) => one.address) ?? [];
  return [...new Set([...known, ...seated, ...state.seeds])].filter(
    (one) => one !== state.member.address,
  );
};

/** Whether this registry is in touch with enough of the core for its word to reach every keeper. */
export const inTouch = (state: Registry, now: Moment): boolean => {
  const set: Electorate | undefined = state.electorate;
  if (set === undefined) return true;
  const near = set.members.filter(
    (one) =>
      one.node === state.member.node || now - (state.heard.get(one.node) ?? -Infinity) < freshSpan,
  );
  return near.length >= majority(set.members.length);
};

export const gossip = (state: Registry, now: Moment): FrameOf<'gossip'> => ({
  kind: 'gossip',
  from: state.member,
  full: true,
  at: now,
  sessions: [...state.sessions.values()]
    .filter((one) => now - one.at < 30_000)
    .map((one) => tellSession(one, now)),
  origins: tellOrigins(state.origins, now),
  holders: [...state.holders.values()],
  memories: [...memories(state.witness)],
  blank: state.witness.blank,
  ...(state.hint === undefined || feedAge(state, now) !== undefined
    ? {}
    : { hint: { ...state.hint, origins: [] } }),
});

export const roster = (state: Registry, now: Moment): FrameOf<'roster'> => ({
  kind: 'roster',
  members: members(state, now),
  origins: tellOrigins(state.origins, now),
  holders: [...state.holders.values()],
});

/** The nodes that news goes to at once: those with a session here, and every shield. */
export const audience = (state: Registry, now: Moment): readonly Address[] =>
  [...state.sessions.values()]
    .filter(
      (one) =>
        alive(one, now) &&
        one.member.role !== 'registry' &&
        (one.registry === state.member.node || one.member.role === 'shield'),
    )
    .map((one) => one.member.address);

/** Tells nodes of the whole fleet. */
export const tellNodes = (
  state: Registry,
  to: readonly Address[],
  now: Moment,
): readonly WireEffect[] => {
  const word = roster(state, now);
  return to.map((one) => send(one, word));
};

export const spread = (state: Registry, now: Moment): readonly WireEffect[] => {
  const inner = gossip(state, now);
  return [
    ...tellNodes(state, audience(state, now), now),
    ...colleagues(state, now).map((to) => send(to, inner)),
  ];
};

export const primaryHolder = (state: Registry): Holder | undefined => state.holders.get(primary);

export const feedAge = (state: Registry, now: Moment): ReturnType<typeof toSpan> | undefined => {
  const asOf = state.feed.asOf;
  if (asOf === undefined) return undefined;
  const age = now - asOf;
  return age < freshSpan ? toSpan(age) : undefined;
};
