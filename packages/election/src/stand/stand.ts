import {
  type Dice,
  type Duty,
  type Epoch,
  type FleetId,
  type Moment,
  type NodeId,
  type Step,
  later,
  nextEpoch,
  noEpoch,
  put,
  roll,
  step,
  toEpoch,
  toMoment,
  toSpan,
} from '@switchwheel/types';
import {
  type Electorate,
  type FrameOf,
  type Holder,
  type WireEffect,
  send,
} from '@switchwheel/transport';
import { leaseSpan, majority } from '../witness/witness.js';

/** What a holder ends its lease early by, against clocks that run unlike. */
export const guardSpan = 50;
const askSpan = 300;

interface Ballots {
  readonly epoch: Epoch;
  readonly votes: ReadonlyMap<NodeId, { readonly at: Moment; readonly blank: boolean }>;
}

/** Where a node stands towards one duty. */
export type Phase =
  | { readonly phase: 'idle'; readonly retry: Moment }
  /** Asks first whether a round could be won: one that can't would only drive the epoch up. */
  | ({
      readonly phase: 'sounding';
      readonly since: Moment;
      readonly refusals: ReadonlyMap<NodeId, number>;
    } & Ballots)
  | ({
      readonly phase: 'asking';
      readonly since: Moment;
      readonly refusals: ReadonlyMap<NodeId, number>;
    } & Ballots)
  | ({
      readonly phase: 'holding';
      readonly until: Moment;
      readonly asked: Moment;
      readonly won: Moment;
    } & Ballots);

export interface Stand {
  readonly me: NodeId;
  readonly duty: Duty;
  readonly phase: Phase;
  /** The highest epoch heard of for this duty. */
  readonly highest: Epoch;
  readonly insync: readonly NodeId[];
  /** How long a lease is asked for; it is renewed four times within it. */
  readonly lease: number;
}

/** What a candidate needs to know of its fleet. */
export interface Poll {
  readonly fleet: FleetId;
  readonly electorate: Electorate;
  readonly held?: Holder;
  /** Whether votes of witnesses without memory count. */
  readonly trustBlank: boolean;
}

export const newStand = (
  me: NodeId,
  duty: Duty,
  insync: readonly NodeId[],
  lease = leaseSpan,
): Stand => ({
  me,
  duty,
  lease,
  phase: { phase: 'idle', retry: toMoment(0) },
  highest: noEpoch,
  insync,
});

export const holds = (stand: Stand, now: Moment): boolean =>
  stand.phase.phase === 'holding' && now < stand.phase.until;
export const heldEpoch = (stand: Stand): Epoch =>
  stand.phase.phase === 'idle' || stand.phase.phase === 'sounding' ? noEpoch : stand.phase.epoch;

/** Takes note of an epoch someone else has. */
export const hear = (stand: Stand, epoch: Epoch): Stand =>
  epoch > stand.highest ? { ...stand, highest: epoch } : stand;

const ballots = (
  stand: Stand,
  poll: Poll,
  epoch: Epoch,
  now: Moment,
  renew: boolean,
  lay = false,
  sound = false,
): readonly WireEffect[] =>
  poll.electorate.members.map((one) =>
    send(one.address, {
      kind: 'ballot',
      fleet: poll.fleet,
      electorate: poll.electorate,
      duty: stand.duty,
      epoch,
      node: stand.me,
      at: now,
      lease: toSpan(stand.lease),
      renew,
      sound,
      insync: [...stand.insync],
      lay,
      ...(poll.held === undefined ? {} : { held: { ...poll.held, epoch } }),
    }),
  );

/** Opens a round of ballots for a new epoch; a holder may do so to change the in-sync set. */
export const ask = (
  stand: Stand,
  poll: Poll,
  insync: readonly NodeId[],
  now: Moment,
): Step<Stand, WireEffect> => {
  const epoch = nextEpoch(toEpoch(Math.max(stand.highest, heldEpoch(stand))));
  const next: Stand = {
    ...stand,
    highest: epoch,
    insync,
    phase: { phase: 'asking', since: now, epoch, votes: new Map(), refusals: new Map() },
  };
  return step(next, ...ballots(next, poll, epoch, now, false));
};

/** Asks the witnesses whether they would vote for this store, before it stands. */
const sound = (stand: Stand, poll: Poll, now: Moment): Step<Stand, WireEffect> => {
  const epoch = nextEpoch(stand.highest);
  const next: Stand = {
    ...stand,
    phase: { phase: 'sounding', since: now, epoch, votes: new Map(), refusals: new Map() },
  };
  return step(next, ...ballots(next, poll, epoch, now, false, false, true));
};

/** Gives the duty up: the witnesses are told so that it falls vacant at once. */
export const lay = (
  stand: Stand,
  poll: Poll | undefined,
  now: Moment,
  rest: number,
): Step<Stand, WireEffect> => {
  const told =
    poll !== undefined && holds(stand, now)
      ? ballots(stand, poll, heldEpoch(stand), now, true, true)
      : [];
  return step({ ...stand, phase: { phase: 'idle', retry: later(now, rest) } }, ...told);
};

/** The lease that enough votes give: counted from before the asking. */
const leaseEnd = (poll: Poll, own: Ballots, lease: number): Moment | undefined => {
  const times = poll.electorate.members
    .map((one) => own.votes.get(one.node))
    .filter((one) => one !== undefined && (poll.trustBlank || !one.blank))
    .map((one) => (one === undefined ? 0 : one.at))
    .sort((one, two) => two - one);
  const last = times[majority(poll.electorate.members.length) - 1];
  return last === undefined ? undefined : toMoment(last + lease - guardSpan);
};

/** Counts a vote. */
export const count = (stand: Stand, poll: Poll, word: FrameOf<'vote'>, now: Moment): Stand => {
  const known = hear(stand, word.highest);
  const own = known.phase;
  if (own.phase === 'idle' || word.epoch !== own.epoch || word.sound !== (own.phase === 'sounding'))
    return known;
  // A lease that ran out is over for good, whatever votes are still on their way.
  if (own.phase === 'holding' && now >= own.until)
    return { ...known, phase: { phase: 'idle', retry: now } };
  if (!word.granted)
    return own.phase === 'asking' || own.phase === 'sounding'
      ? { ...known, phase: { ...own, refusals: put(own.refusals, word.witness, word.left ?? 0) } }
      : known;
  const before = own.votes.get(word.witness);
  if (before !== undefined && before.at >= word.at) return known;
  const votes = put(own.votes, word.witness, { at: word.at, blank: word.blank });
  if (own.phase === 'sounding') return { ...known, phase: { ...own, votes } };
  if (own.phase === 'asking') {
    const until = leaseEnd(poll, { epoch: own.epoch, votes }, known.lease);
    if (until === undefined || until <= now) return { ...known, phase: { ...own, votes } };
    return {
      ...known,
      phase: {
        phase: 'holding',
        epoch: own.epoch,
        votes,
        until,
        asked: toMoment(now - known.lease),
        won: now,
      },
    };
  }
  // Once won, a renewal by any witness counts: memory only matters for the winning.
  const until = leaseEnd({ ...poll, trustBlank: true }, { epoch: own.epoch, votes }, known.lease);
  return {
    ...known,
    phase: {
      ...own,
      votes,
      until: until === undefined ? own.until : toMoment(Math.max(until, own.until)),
    },
  };
};

/** How long a round that can't be won any more should wait for the next: until enough leases are over. */
const lost = (poll: Poll, refusals: ReadonlyMap<NodeId, number>): number | undefined => {
  const size = poll.electorate.members.length;
  const need = majority(size);
  const lefts = poll.electorate.members
    .flatMap((one) => {
      const left = refusals.get(one.node);
      return left === undefined ? [] : [left];
    })
    .sort((one, two) => one - two);
  const over = lefts.length - (size - need);
  return over <= 0 ? undefined : Math.min(leaseSpan, lefts[over - 1] ?? 0);
};

/** Lets time pass: renews a lease that stands, ends one that is over, opens a round when `keen`. */
export const pass = (
  stand: Stand,
  poll: Poll,
  keen: boolean,
  dice: Dice,
  now: Moment,
): Step<{ readonly stand: Stand; readonly dice: Dice }, WireEffect> => {
  const own = stand.phase;
  if (own.phase === 'holding') {
    if (now >= own.until) {
      const [chance, rest] = roll(dice);
      return step({
        stand: { ...stand, phase: { phase: 'idle', retry: later(now, 50 + 200 * chance) } },
        dice: rest,
      });
    }
    if (now - own.asked < stand.lease / 4) return step({ stand, dice });
    return step(
      { stand: { ...stand, phase: { ...own, asked: now } }, dice },
      ...ballots(stand, poll, own.epoch, now, true),
    );
  }
  if (own.phase === 'sounding' && leaseEnd(poll, own, stand.lease) !== undefined) {
    const opened = ask(stand, poll, stand.insync, now);
    return { state: { stand: opened.state, dice }, effects: opened.effects };
  }
  if (own.phase === 'asking' || own.phase === 'sounding') {
    const wait = lost(poll, own.refusals);
    if (wait === undefined && now - own.since < askSpan) return step({ stand, dice });
    const [chance, rest] = roll(dice);
    // What was granted in a round that is lost is given back, so that nobody waits for it to run out.
    const back = own.phase === 'sounding' ? [] : ballots(stand, poll, own.epoch, now, true, true);
    return step(
      {
        stand: {
          ...stand,
          phase: { phase: 'idle', retry: later(now, (wait ?? 50) + 10 + 150 * chance) },
        },
        dice: rest,
      },
      ...back,
    );
  }
  if (!keen || now < own.retry) return step({ stand, dice });
  const opened = sound(stand, poll, now);
  return { state: { stand: opened.state, dice }, effects: opened.effects };
};
