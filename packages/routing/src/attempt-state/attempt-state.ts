import {
  type InstanceId,
  type ErrorKind,
  type Timestamp,
  type Transition,
  withoutEntry,
  withEntry,
  transition,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';

/** A whole answer of an origin. */
export interface OriginResponse {
  readonly status: number;
  readonly fields: HeaderFields;
  readonly body: Buffer;
  /** The origin says that it did not run the request. */
  readonly isUnprocessed: boolean;
}

/** What a caller is told in the end. */
export type RequestOutcome =
  | {
      readonly kind: 'answer';
      readonly answer: OriginResponse;
      readonly instance: InstanceId;
      readonly leg: number;
    }
  | {
      readonly kind: 'fault';
      readonly fault: ErrorKind;
      readonly text: string;
      readonly retryMs: number;
    };

interface Attempt {
  readonly instance: InstanceId;
  readonly startedAt: Timestamp;
}

/** One request from when it is read until its caller is told. */
export interface RequestState {
  readonly repeatable: boolean;
  /** The largest number of origins that it may be sent to. */
  readonly most: number;
  readonly until: Timestamp;
  readonly phase: 'choosing' | 'out' | 'over';
  readonly legs: ReadonlyMap<number, Attempt>;
  readonly next: number;
  /** Legs that reached an origin, or may have. */
  readonly sent: number;
  /** Legs whose connection never opened. */
  readonly unopened: number;
  /** Whether an origin may have run it, or may still. */
  readonly ran: boolean;
  readonly tried: ReadonlySet<InstanceId>;
  /** A failure that an origin answered: told if nothing better comes. */
  readonly held: Extract<RequestOutcome, { kind: 'answer' }> | undefined;
}

export type RequestEvent =
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
      readonly answer: OriginResponse;
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

export type RequestEffect =
  /** Choose an origin; an extra one is charged to the budget. */
  | { readonly kind: 'pick'; readonly extra: boolean }
  | { readonly kind: 'send'; readonly leg: number; readonly instance: InstanceId }
  | { readonly kind: 'cut'; readonly leg: number }
  | { readonly kind: 'tell'; readonly told: RequestOutcome };

type RequestTransition = Transition<RequestState, RequestEffect>;
const maxUnopenedAttempts = 3;
/** Statuses that promise the caller that nothing has run. */
const unprocessedStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

export const newRequestState = (
  repeatable: boolean,
  most: number,
  until: Timestamp,
): RequestState => ({
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

const failureOutcome = (kind: ErrorKind, text: string, retryMs: number): RequestOutcome => ({
  kind: 'fault',
  fault: kind,
  text,
  retryMs,
});

const finish = (trip: RequestState, told: RequestOutcome | undefined): RequestTransition =>
  transition<RequestState, RequestEffect>(
    { ...trip, phase: 'over', legs: new Map() },
    ...[...trip.legs.keys()].map((leg) => ({ kind: 'cut' as const, leg })),
    ...(told === undefined ? [] : [{ kind: 'tell' as const, told }]),
  );

/** What is told when no origin will answer: a promise only if nothing has run and nothing will. */
const finalOutcome = (trip: RequestState, text: string, retryMs: number): RequestOutcome => {
  if (trip.held !== undefined) return trip.held;
  if (trip.ran && !trip.repeatable) return failureOutcome('lost', text, 0);
  return trip.ran
    ? failureOutcome('lost', text, retryMs)
    : failureOutcome('rejected', text, retryMs);
};

/** Goes on after a leg that brought nothing: to another origin, on with those still out, or to the end. */
const retryOrFinish = (trip: RequestState, text: string, retryMs: number): RequestTransition => {
  const mayRepeat = trip.repeatable || !trip.ran;
  if (mayRepeat && trip.sent < trip.most && trip.unopened <= maxUnopenedAttempts)
    return transition({ ...trip, phase: 'choosing' }, { kind: 'pick', extra: trip.sent > 0 });
  return trip.legs.size > 0
    ? transition({ ...trip, phase: 'out' })
    : finish(trip, finalOutcome(trip, text, retryMs));
};

const onResponse = (trip: RequestState, leg: number, answer: OriginResponse): RequestTransition => {
  const own = trip.legs.get(leg);
  if (own === undefined) return transition(trip);
  const rest: RequestState = { ...trip, legs: withoutEntry(trip.legs, leg) };
  if (answer.isUnprocessed) return retryOrFinish(rest, 'origins turn requests away', 200);
  const ran: RequestState = { ...rest, ran: true };
  if (answer.status < 500) {
    // A promise that is not one: the origin did not say that it has not run.
    if (!trip.repeatable && unprocessedStatuses.has(answer.status))
      return finish(ran, failureOutcome('lost', 'the origin left open whether it ran', 0));
    return finish(ran, { kind: 'answer', answer, instance: own.instance, leg });
  }
  const safe = trip.repeatable || !unprocessedStatuses.has(answer.status);
  const held = safe ? { kind: 'answer' as const, answer, instance: own.instance, leg } : undefined;
  return retryOrFinish({ ...ran, held: held ?? ran.held }, 'the origin failed', 0);
};

const onAttemptFailed = (
  trip: RequestState,
  leg: number,
  sent: boolean,
  text: string,
): RequestTransition => {
  if (!trip.legs.has(leg)) return transition(trip);
  const rest: RequestState = { ...trip, legs: withoutEntry(trip.legs, leg) };
  // What never left is no leg: nothing ran.
  if (!sent)
    return retryOrFinish({ ...rest, sent: rest.sent - 1, unopened: rest.unopened + 1 }, text, 200);
  return retryOrFinish({ ...rest, ran: true }, text, 200);
};

/** The life of a request: one function for every change of it. */
export const requestTransition = (trip: RequestState, event: RequestEvent): RequestTransition => {
  if (trip.phase === 'over') return transition(trip);
  switch (event.kind) {
    case 'start':
      return transition(trip, { kind: 'pick', extra: false });
    case 'picked': {
      if (trip.phase !== 'choosing') return transition(trip);
      const leg = trip.next;
      const legs = withEntry(trip.legs, leg, { instance: event.instance, startedAt: event.now });
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
        : finish(trip, finalOutcome(trip, event.text, event.retryMs));
    case 'answered':
      return onResponse(trip, event.leg, event.answer);
    case 'broke':
      return onAttemptFailed(trip, event.leg, event.sent, event.text);
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
      return finish(
        trip,
        trip.held ??
          (trip.ran || trip.legs.size > 0
            ? failureOutcome('slow', 'no origin answered in time', 0)
            : failureOutcome('rejected', 'no origin in time', 200)),
      );
    case 'left':
      return finish(trip, undefined);
  }
};
