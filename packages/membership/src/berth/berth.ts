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
} from '@switchwheel/types';
import {
  type Colleague,
  type Electorate,
  type FrameOf,
  type Holder,
  type Member,
  type Report,
  type WireEffect,
  log,
  send,
} from '@switchwheel/transport';
import { type Origins, learnAll } from '../origins/origins.js';

/** How often a node speaks to its registry. */
export const hailSpan = 250;
/** How long a registry may be silent before the node goes to another. */
export const deafSpan = 700;
/** How long a registry may have no fresh word of the primary before the node goes to another, and how long it stays at least. */
const staleSpan = 500;
const looseSpan = 1200;

interface Moor {
  readonly address: Address;
  readonly since: Moment;
  readonly heard: Moment | undefined;
  /** Since when it has no fresh word of the primary. */
  readonly stale: Moment | undefined;
}

/** A node's side of its session, and what it learned of the fleet through it. */
export interface Berth {
  readonly member: Member;
  readonly seeds: readonly Address[];
  readonly moor: Moor | undefined;
  readonly hailed: Moment;
  /** When any registry was last heard: a session outlives the change of its registry. */
  readonly heard: Moment;
  readonly seq: Seq;
  readonly members: readonly Member[];
  readonly origins: Origins;
  readonly holders: ReadonlyMap<Duty, Holder>;
  readonly electorate: Electorate | undefined;
  readonly fleet: FleetId | undefined;
  readonly dice: Dice;
}

export const newBerth = (member: Member, seeds: readonly Address[], dice: Dice): Berth => ({
  member,
  seeds,
  moor: undefined,
  hailed: start,
  heard: start,
  seq: noSeq,
  members: [],
  origins: new Map(),
  holders: new Map(),
  electorate: undefined,
  fleet: undefined,
  dice,
});

/** The registries that this node knows: those of the fleet, and the seeds while it knows none. */
export const registries = (berth: Berth): readonly Address[] => {
  const known = berth.members.filter((one) => one.role === 'registry').map((one) => one.address);
  return [...new Set([...known, ...berth.seeds])];
};

const elect = (berth: Berth, now: Moment): Berth => {
  const others = registries(berth).filter((one) => one !== berth.moor?.address);
  const pool = others.length > 0 ? others : registries(berth);
  const [chance, dice] = roll(berth.dice);
  const address = pool[Math.floor(chance * pool.length)];
  return {
    ...berth,
    dice,
    moor:
      address === undefined
        ? undefined
        : { address, since: now, heard: undefined, stale: undefined },
  };
};

const quiet = (moor: Moor, now: Moment): boolean => now - (moor.heard ?? moor.since) > deafSpan;

/** Whether this registry has been without word of the primary for too long, and there is another one to go to. */
const outdated = (berth: Berth, moor: Moor, now: Moment): boolean =>
  moor.stale !== undefined &&
  now - moor.stale > staleSpan &&
  now - moor.since >= staleSpan &&
  registries(berth).some((one) => one !== moor.address);

/** Whether the session stands. */
export const moored = (berth: Berth, now: Moment): boolean =>
  berth.heard > start && now - berth.heard < looseSpan;

export const highest = (berth: Berth, duty: Duty): Epoch =>
  berth.holders.get(duty)?.epoch ?? noEpoch;

/** What a node adds to its word of itself. */
export interface Words {
  readonly report: Report;
  readonly held: readonly Holder[];
  readonly purged: Seq;
  readonly bye: boolean;
  /** The digest of the records of releases that it knows; undefined to be told all. */
  readonly releases?: string | undefined;
}

/** Speaks to the registry now. */
export const hail = (berth: Berth, words: Words, now: Moment): Step<Berth, WireEffect> => {
  if (berth.moor === undefined) return step(berth);
  const seq = nextSeq(berth.seq);
  const next = { ...berth, seq, hailed: now };
  return step(
    next,
    send(berth.moor.address, {
      kind: 'hail',
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

/** Lets time pass: hails when it is due, goes to another registry when this one is silent or knows nothing new. */
export const drift = (berth: Berth, words: Words, now: Moment): Step<Berth, WireEffect> => {
  if (berth.moor === undefined || quiet(berth.moor, now)) {
    const lost =
      berth.moor?.heard === undefined
        ? []
        : [log('warn', 'registry is silent, going to another', ['registry', berth.moor.address])];
    const moved = elect(berth, now);
    return join(lost, hail(moved, words, now));
  }
  // The session stands meanwhile: the next registry takes it on where this one had it.
  if (outdated(berth, berth.moor, now)) return hail(elect(berth, now), words, now);
  return now - berth.hailed >= hailSpan ? hail(berth, words, now) : step(berth);
};

/** A channel ended: if it was the registry's, another one is sought at once. */
export const adrift = (berth: Berth, address: Address, now: Moment): Berth =>
  berth.moor?.address === address ? elect(berth, now) : berth;

export const learnHolder = (
  holders: ReadonlyMap<Duty, Holder>,
  word: Holder,
): ReadonlyMap<Duty, Holder> => {
  const known = holders.get(word.duty);
  return known !== undefined && known.epoch >= word.epoch ? holders : put(holders, word.duty, word);
};

/** Takes in what a registry tells of the fleet. */
export const takeRoster = (
  berth: Berth,
  from: Colleague,
  word: FrameOf<'roster'>,
  now: Moment,
): Berth => {
  const mine = berth.moor?.address === from.address;
  return {
    ...berth,
    members: mine ? word.members : berth.members,
    origins: learnAll(berth.origins, word.origins, now).origins,
    holders: word.holders.reduce(learnHolder, berth.holders),
  };
};

/** Takes in a registry's answer to a hail. */
export const takeHeard = (
  berth: Berth,
  from: Colleague,
  word: FrameOf<'heard'>,
  now: Moment,
): Berth => {
  if (berth.moor?.address !== from.address) return berth;
  const known = berth.electorate;
  const next = word.electorate;
  const fleet = word.fleet ?? berth.fleet;
  const stale =
    word.age !== undefined || fleet === undefined ? undefined : (berth.moor.stale ?? now);
  return {
    ...berth,
    heard: now,
    moor: { ...berth.moor, heard: now, stale },
    electorate:
      next !== undefined && (known === undefined || next.serial > known.serial) ? next : known,
    fleet,
  };
};
