import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type InstanceId, toInstanceId, toTimestamp } from '@switchwheel/types';
import {
  type OriginResponse,
  type RequestOutcome,
  type RequestState,
  type RequestEffect,
  type RequestEvent,
  newRequestState,
  requestTransition,
} from './attempt-state.js';

const at = toTimestamp(1000);
const until = toTimestamp(3000);
const answer = (status: number, unrun = false): OriginResponse => ({
  status,
  fields: [],
  body: Buffer.alloc(0),
  isUnprocessed: unrun,
});
const origin = (number: number): InstanceId => toInstanceId(`o${number}`);

type Move =
  | { readonly move: 'pick' }
  | { readonly move: 'none' }
  | { readonly move: 'late' }
  | { readonly move: 'expired' }
  | { readonly move: 'left' }
  | {
      readonly move: 'answer';
      readonly leg: number;
      readonly status: number;
      readonly unrun: boolean;
    }
  | { readonly move: 'broke'; readonly leg: number; readonly sent: boolean };

const moves: fc.Arbitrary<Move> = fc.oneof(
  { weight: 6, arbitrary: fc.constant<Move>({ move: 'pick' }) },
  {
    weight: 1,
    arbitrary: fc.constantFrom<Move>(
      { move: 'none' },
      { move: 'late' },
      { move: 'expired' },
      { move: 'left' },
    ),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      move: fc.constant('answer' as const),
      leg: fc.integer({ min: 1, max: 6 }),
      status: fc.constantFrom(200, 404, 429, 500, 503, 504),
      unrun: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      move: fc.constant('broke' as const),
      leg: fc.integer({ min: 1, max: 6 }),
      sent: fc.boolean(),
    }),
  },
);

const eventOf = (move: Move, number: number): RequestEvent => {
  switch (move.move) {
    case 'pick':
      return { kind: 'picked', now: at, instance: origin(number) };
    case 'none':
      return { kind: 'none', now: at, text: 'none', retryMs: 100 };
    case 'answer':
      return { kind: 'answered', now: at, leg: move.leg, answer: answer(move.status, move.unrun) };
    case 'broke':
      return { kind: 'broke', now: at, leg: move.leg, sent: move.sent, text: 'broke' };
    default:
      return { kind: move.move, now: at };
  }
};

interface Seen {
  readonly told: RequestOutcome[];
  readonly out: Set<number>;
  ran: boolean;
  sent: number;
}

/** Plays moves against the machine, holding each effect to the rules. */
const play = (repeatable: boolean, most: number, list: readonly Move[]): Seen => {
  const seen: Seen = { told: [], out: new Set(), ran: false, sent: 0 };
  let trip: RequestState = newRequestState(repeatable, most, until);
  const take = (effects: readonly RequestEffect[]): void => {
    for (const effect of effects) {
      assert.equal(seen.told.length, 0, 'nothing follows what the caller was told');
      if (effect.kind === 'send') {
        assert.ok(
          repeatable || (!seen.ran && seen.out.size === 0),
          'a request that may not be repeated goes out once unless nothing ran',
        );
        seen.out.add(effect.leg);
        seen.sent += 1;
        assert.ok(seen.sent <= most, 'no more origins than allowed');
      } else if (effect.kind === 'cut') {
        seen.out.delete(effect.leg);
        seen.ran = true;
      } else if (effect.kind === 'tell') {
        seen.told.push(effect.told);
      }
    }
  };
  take(requestTransition(trip, { kind: 'start', now: at }).effects);
  list.forEach((move, number) => {
    const event = eventOf(move, number);
    if (event.kind === 'answered' && seen.out.has(event.leg)) {
      seen.out.delete(event.leg);
      if (!event.answer.isUnprocessed) seen.ran = true;
    }
    if (event.kind === 'broke' && seen.out.has(event.leg)) {
      seen.out.delete(event.leg);
      if (event.sent) seen.ran = true;
      else seen.sent -= 1;
    }
    const done = requestTransition(trip, event);
    trip = done.state;
    take(done.effects);
  });
  return seen;
};

void test('no row of answers, losses and delays makes a request run twice that may not, or told as refused when it may have run', () => {
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.integer({ min: 1, max: 4 }),
      fc.array(moves, { maxLength: 30 }),
      (repeatable, most, list) => {
        const seen = play(repeatable, most, list);
        for (const told of seen.told) {
          const promise =
            told.kind === 'fault'
              ? told.fault === 'rejected'
              : [408, 421, 429, 503].includes(told.answer.status);
          if (promise && !repeatable)
            assert.ok(
              !seen.ran && seen.out.size === 0,
              'a promise is only given when nothing ran and nothing will',
            );
        }
        assert.ok(seen.told.length <= 1);
      },
    ),
    { seed: 4711, numRuns: 4000 },
  );
});

void test('a request that an origin turned away unrun goes to another one, and a success is told as it came', () => {
  let trip = newRequestState(false, 2, until);
  trip = requestTransition(trip, { kind: 'picked', now: at, instance: origin(1) }).state;
  const away = requestTransition(trip, {
    kind: 'answered',
    now: at,
    leg: 1,
    answer: answer(503, true),
  });
  assert.deepEqual(away.effects, [{ kind: 'pick', extra: true }]);
  const again = requestTransition(away.state, { kind: 'picked', now: at, instance: origin(2) });
  const done = requestTransition(again.state, {
    kind: 'answered',
    now: at,
    leg: 2,
    answer: answer(200),
  });
  assert.equal(done.effects[0]?.kind, 'tell');
});

void test('an answer of an origin that looks like a promise but is none is not handed on for a request that may have run', () => {
  const out = requestTransition(newRequestState(false, 2, until), {
    kind: 'picked',
    now: at,
    instance: origin(1),
  });
  const done = requestTransition(out.state, {
    kind: 'answered',
    now: at,
    leg: 1,
    answer: answer(503),
  });
  assert.deepEqual(
    done.effects.map((one) =>
      one.kind === 'tell' && one.told.kind === 'fault' ? one.told.fault : one.kind,
    ),
    ['lost'],
  );
});
