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
const deadline = toTimestamp(3000);
const response = (status: number, isUnprocessed = false): OriginResponse => ({
  status,
  fields: [],
  body: Buffer.alloc(0),
  isUnprocessed,
});
const origin = (number: number): InstanceId => toInstanceId(`o${number}`);

type Move =
  | { readonly move: 'endpointPicked' }
  | { readonly move: 'noEndpointAvailable' }
  | { readonly move: 'hedgeDelayElapsed' }
  | { readonly move: 'deadlineExpired' }
  | { readonly move: 'clientDisconnected' }
  | {
      readonly move: 'responseReceived';
      readonly attempt: number;
      readonly status: number;
      readonly isUnprocessed: boolean;
    }
  | {
      readonly move: 'attemptFailed';
      readonly attempt: number;
      readonly mayHaveReachedOrigin: boolean;
    };

const moves: fc.Arbitrary<Move> = fc.oneof(
  { weight: 6, arbitrary: fc.constant<Move>({ move: 'endpointPicked' }) },
  {
    weight: 1,
    arbitrary: fc.constantFrom<Move>(
      { move: 'noEndpointAvailable' },
      { move: 'hedgeDelayElapsed' },
      { move: 'deadlineExpired' },
      { move: 'clientDisconnected' },
    ),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      move: fc.constant('responseReceived' as const),
      attempt: fc.integer({ min: 1, max: 6 }),
      status: fc.constantFrom(200, 404, 429, 500, 503, 504),
      isUnprocessed: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      move: fc.constant('attemptFailed' as const),
      attempt: fc.integer({ min: 1, max: 6 }),
      mayHaveReachedOrigin: fc.boolean(),
    }),
  },
);

const eventOf = (move: Move, number: number): RequestEvent => {
  switch (move.move) {
    case 'endpointPicked':
      return { kind: 'endpointPicked', now: at, instance: origin(number) };
    case 'noEndpointAvailable':
      return { kind: 'noEndpointAvailable', now: at, text: 'none', retryAfterMs: 100 };
    case 'responseReceived':
      return {
        kind: 'responseReceived',
        now: at,
        attempt: move.attempt,
        response: response(move.status, move.isUnprocessed),
      };
    case 'attemptFailed':
      return {
        kind: 'attemptFailed',
        now: at,
        attempt: move.attempt,
        mayHaveReachedOrigin: move.mayHaveReachedOrigin,
        text: 'broke',
      };
    default:
      return { kind: move.move, now: at };
  }
};

interface Seen {
  readonly outcomes: RequestOutcome[];
  readonly inFlight: Set<number>;
  hasRun: boolean;
  sentCount: number;
}

/** Plays moves against the machine, holding each effect to the rules. */
const play = (isIdempotent: boolean, maxAttempts: number, list: readonly Move[]): Seen => {
  const seen: Seen = { outcomes: [], inFlight: new Set(), hasRun: false, sentCount: 0 };
  let request: RequestState = newRequestState(isIdempotent, maxAttempts, deadline);
  const take = (effects: readonly RequestEffect[]): void => {
    for (const effect of effects) {
      assert.equal(seen.outcomes.length, 0, 'nothing follows what the caller was told');
      if (effect.kind === 'sendAttempt') {
        assert.ok(
          isIdempotent || (!seen.hasRun && seen.inFlight.size === 0),
          'a request that may not be repeated goes out once unless nothing ran',
        );
        seen.inFlight.add(effect.attempt);
        seen.sentCount += 1;
        assert.ok(seen.sentCount <= maxAttempts, 'no more origins than allowed');
      } else if (effect.kind === 'cancelAttempt') {
        seen.inFlight.delete(effect.attempt);
        seen.hasRun = true;
      } else if (effect.kind === 'finishRequest') {
        seen.outcomes.push(effect.outcome);
      }
    }
  };
  take(requestTransition(request, { kind: 'started', now: at }).effects);
  list.forEach((move, number) => {
    const event = eventOf(move, number);
    if (event.kind === 'responseReceived' && seen.inFlight.has(event.attempt)) {
      seen.inFlight.delete(event.attempt);
      if (!event.response.isUnprocessed) seen.hasRun = true;
    }
    if (event.kind === 'attemptFailed' && seen.inFlight.has(event.attempt)) {
      seen.inFlight.delete(event.attempt);
      if (event.mayHaveReachedOrigin) seen.hasRun = true;
      else seen.sentCount -= 1;
    }
    const done = requestTransition(request, event);
    request = done.state;
    take(done.effects);
  });
  return seen;
};

void test('no sequence of responses, failures and delays runs a non-idempotent request twice, or rejects it when it may have run', () => {
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.integer({ min: 1, max: 4 }),
      fc.array(moves, { maxLength: 30 }),
      (isIdempotent, maxAttempts, list) => {
        const seen = play(isIdempotent, maxAttempts, list);
        for (const outcome of seen.outcomes) {
          const promise =
            outcome.kind === 'failure'
              ? outcome.errorKind === 'rejected'
              : [408, 421, 429, 503].includes(outcome.response.status);
          if (promise && !isIdempotent)
            assert.ok(
              !seen.hasRun && seen.inFlight.size === 0,
              'a promise is only given when nothing ran and nothing will',
            );
        }
        assert.ok(seen.outcomes.length <= 1);
      },
    ),
    { seed: 4711, numRuns: 4000 },
  );
});

void test('an unprocessed request goes to another origin, and its response is the outcome', () => {
  let request = newRequestState(false, 2, deadline);
  request = requestTransition(request, {
    kind: 'endpointPicked',
    now: at,
    instance: origin(1),
  }).state;
  const away = requestTransition(request, {
    kind: 'responseReceived',
    now: at,
    attempt: 1,
    response: response(503, true),
  });
  assert.deepEqual(away.effects, [{ kind: 'pickEndpoint', isExtra: true }]);
  const again = requestTransition(away.state, {
    kind: 'endpointPicked',
    now: at,
    instance: origin(2),
  });
  const done = requestTransition(again.state, {
    kind: 'responseReceived',
    now: at,
    attempt: 2,
    response: response(200),
  });
  assert.equal(done.effects[0]?.kind, 'finishRequest');
});

void test('a status by which a client would conclude that nothing ran is not passed on when the request may have run', () => {
  const out = requestTransition(newRequestState(false, 2, deadline), {
    kind: 'endpointPicked',
    now: at,
    instance: origin(1),
  });
  const done = requestTransition(out.state, {
    kind: 'responseReceived',
    now: at,
    attempt: 1,
    response: response(503),
  });
  assert.deepEqual(
    done.effects.map((effect) =>
      effect.kind === 'finishRequest' && effect.outcome.kind === 'failure'
        ? effect.outcome.errorKind
        : effect.kind,
    ),
    ['lost'],
  );
});
