import {
  type InstanceId,
  type ErrorKind,
  type Timestamp,
  type Transition,
  withoutEntry,
  withEntry,
  transition,
} from '@switchwheel/types';
import type { Fields } from '@switchwheel/transport';

/** A whole answer of an origin. */
export interface Answer {
  readonly status: number;
  readonly fields: Fields;
  readonly body: Buffer;
  /** The origin says that it did not run the request. */
  readonly unrun: boolean;
}

/** What a caller is told in the end. */
export type Told =
  | {
      readonly kind: 'answer';
      readonly answer: Answer;
      readonly instance: InstanceId;
      readonly leg: number;
    }
  | {
      readonly kind: 'fault';
      readonly fault: ErrorKind;
      readonly text: string;
      readonly retryMs: number;
    };

interface Leg {
  readonly instance: InstanceId;
  readonly since: Timestamp;
}

/** One request from when it is read until its caller is told. */
export interface Trip {
  readonly repeatable: boolean;
  /** The largest number of origins that it may be sent to. */
  readonly most: number;
  readonly until: Timestamp;
  readonly phase: 'choosing' | 'out' | 'over';
  readonly legs: ReadonlyMap<number, Leg>;
  readonly next: number;
  /** Legs that reached an origin, or may have. */
  readonly sent: number;
  /** Legs whose connection never opened. */
  readonly unopened: number;
  /** Whether an origin may have run it, or may still. */
  readonly ran: boolean;
  readonly tried: ReadonlySet<InstanceId>;
  /** A failure that an origin answered: told if nothing better comes. */
  readonly held: Extract<Told, { kind: 'answer' }> | undefined;
}

export type TripEvent =
  | { readonly kind: 'start'; readonly now: Timestamp }
  | { readonly kind: 'picked'; readonly now: Timestamp; readonly instance: InstanceId }
  /** No origin may be had now. */
  | {
      readonly kind: 'none';
      readonly now: Timestamp;
      readonly text: string;
      readonly retryMs: number;
    }
  | {
      readonly kind: 'answered';
      readonly now: Timestamp;
      readonly leg: number;
      readonly answer: Answer;
    }
  /** A leg ended without a whole answer; `sent` tells whether the request may have reached the origin. */
  | {
      readonly kind: 'broke';
      readonly now: Timestamp;
      readonly leg: number;
      readonly sent: boolean;
      readonly text: string;
    }
  /** The answer is late: another origin may be quicker. */
  | { readonly kind: 'late'; readonly now: Timestamp }
  | { readonly kind: 'expired'; readonly now: Timestamp }
  | { readonly kind: 'left'; readonly now: Timestamp };

export type TripEffect =
  /** Choose an origin; an extra one is charged to the budget. */
  | { readonly kind: 'pick'; readonly extra: boolean }
  | { readonly kind: 'send'; readonly leg: number; readonly instance: InstanceId }
  | { readonly kind: 'cut'; readonly leg: number }
  | { readonly kind: 'tell'; readonly told: Told };

type Done = Transition<Trip, TripEffect>;
const mostUnopened = 3;
/** Statuses that promise the caller that nothing has run. */
const promises: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export const newTrip = (repeatable: boolean, most: number, until: Timestamp): Trip => ({
  repeatable,
  most,
  until,
  phase: 'choosing',
  legs: new Map(),
  next: 1,
  sent: 0,
  unopened: 0,
  ran: false,
  tried: new Set(),
  held: undefined,
});

const fault = (kind: ErrorKind, text: string, retryMs: number): Told => ({
  kind: 'fault',
  fault: kind,
  text,
  retryMs,
});

const end = (trip: Trip, told: Told | undefined): Done =>
  transition<Trip, TripEffect>(
    { ...trip, phase: 'over', legs: new Map() },
    ...[...trip.legs.keys()].map((leg) => ({ kind: 'cut' as const, leg })),
    ...(told === undefined ? [] : [{ kind: 'tell' as const, told }]),
  );

/** What is told when no origin will answer: a promise only if nothing has run and nothing will. */
const lastWord = (trip: Trip, text: string, retryMs: number): Told => {
  if (trip.held !== undefined) return trip.held;
  if (trip.ran && !trip.repeatable) return fault('lost', text, 0);
  return trip.ran ? fault('lost', text, retryMs) : fault('rejected', text, retryMs);
};

/** Goes on after a leg that brought nothing: to another origin, on with those still out, or to the end. */
const goOn = (trip: Trip, text: string, retryMs: number): Done => {
  const mayRepeat = trip.repeatable || !trip.ran;
  if (mayRepeat && trip.sent < trip.most && trip.unopened <= mostUnopened)
    return transition({ ...trip, phase: 'choosing' }, { kind: 'pick', extra: trip.sent > 0 });
  return trip.legs.size > 0
    ? transition({ ...trip, phase: 'out' })
    : end(trip, lastWord(trip, text, retryMs));
};

const onAnswered = (trip: Trip, leg: number, answer: Answer): Done => {
  const own = trip.legs.get(leg);
  if (own === undefined) return transition(trip);
  const rest: Trip = { ...trip, legs: withoutEntry(trip.legs, leg) };
  if (answer.unrun) return goOn(rest, 'origins turn requests away', 200);
  const ran: Trip = { ...rest, ran: true };
  if (answer.status < 500) {
    // A promise that is not one: the origin did not say that it has not run.
    if (!trip.repeatable && promises.has(answer.status))
      return end(ran, fault('lost', 'the origin left open whether it ran', 0));
    return end(ran, { kind: 'answer', answer, instance: own.instance, leg });
  }
  const safe = trip.repeatable || !promises.has(answer.status);
  const held = safe ? { kind: 'answer' as const, answer, instance: own.instance, leg } : undefined;
  return goOn({ ...ran, held: held ?? ran.held }, 'the origin failed', 0);
};

const onBroke = (trip: Trip, leg: number, sent: boolean, text: string): Done => {
  if (!trip.legs.has(leg)) return transition(trip);
  const rest: Trip = { ...trip, legs: withoutEntry(trip.legs, leg) };
  // What never left is no leg: nothing ran.
  if (!sent) return goOn({ ...rest, sent: rest.sent - 1, unopened: rest.unopened + 1 }, text, 200);
  return goOn({ ...rest, ran: true }, text, 200);
};

/** The life of a request: one function for every change of it. */
export const tripStep = (trip: Trip, event: TripEvent): Done => {
  if (trip.phase === 'over') return transition(trip);
  switch (event.kind) {
    case 'start':
      return transition(trip, { kind: 'pick', extra: false });
    case 'picked': {
      if (trip.phase !== 'choosing') return transition(trip);
      const leg = trip.next;
      const legs = withEntry(trip.legs, leg, { instance: event.instance, since: event.now });
      return transition(
        {
          ...trip,
          phase: 'out',
          legs,
          next: leg + 1,
          sent: trip.sent + 1,
          tried: new Set([...trip.tried, event.instance]),
        },
        { kind: 'send', leg, instance: event.instance },
      );
    }
    case 'none':
      if (trip.phase !== 'choosing') return transition(trip);
      return trip.legs.size > 0
        ? transition({ ...trip, phase: 'out' })
        : end(trip, lastWord(trip, event.text, event.retryMs));
    case 'answered':
      return onAnswered(trip, event.leg, event.answer);
    case 'broke':
      return onBroke(trip, event.leg, event.sent, event.text);
    case 'late':
      if (
        trip.phase !== 'out' ||
        !trip.repeatable ||
        trip.legs.size !== 1 ||
        trip.sent >= trip.most
      )
        return transition(trip);
      return transition({ ...trip, phase: 'choosing' }, { kind: 'pick', extra: true });
    case 'expired':
      // A leg under way may run yet.
      return end(
        trip,
        trip.held ??
          (trip.ran || trip.legs.size > 0
            ? fault('slow', 'no origin answered in time', 0)
            : fault('rejected', 'no origin in time', 200)),
      );
    case 'left':
      return end(trip, undefined);
  }
};
