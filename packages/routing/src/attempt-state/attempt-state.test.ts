/** Guards against running a non-idempotent request twice, and against claiming that a request that may have run did not. */

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

type Step =
  | { readonly kind: 'endpointPicked' }
  | { readonly kind: 'noEndpointAvailable' }
  | { readonly kind: 'hedgeDelayElapsed' }
  | { readonly kind: 'deadlineExpired' }
  | { readonly kind: 'clientDisconnected' }
  | {
      readonly kind: 'responseReceived';
      readonly attempt: number;
      readonly status: number;
      readonly isUnprocessed: boolean;
    }
  | {
      readonly kind: 'attemptFailed';
      readonly attempt: number;
      readonly mayHaveReachedOrigin: boolean;
    };

const steps: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.constant<Step>({ kind: 'endpointPicked' }) },
  {
    weight: 1,
    arbitrary: fc.constantFrom<Step>(
      { kind: 'noEndpointAvailable' },
      { kind: 'hedgeDelayElapsed' },
      { kind: 'deadlineExpired' },
      { kind: 'clientDisconnected' },
    ),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('responseReceived' as const),
      attempt: fc.integer({ min: 1, max: 6 }),
      status: fc.constantFrom(200, 404, 429, 500, 503, 504),
      isUnprocessed: fc.boolean(),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant('attemptFailed' as const),
      attempt: fc.integer({ min: 1, max: 6 }),
      mayHaveReachedOrigin: fc.boolean(),
    }),
  },
);

const eventOf = (step: Step, number: number): RequestEvent => {
  switch (step.kind) {
    case 'endpointPicked':
      return { kind: 'endpointPicked', now: at, instance: origin(number) };
    case 'noEndpointAvailable':
      return { kind: 'noEndpointAvailable', now: at, text: 'no endpoint', retryAfterMs: 100 };
    case 'responseReceived':
      return {
        kind: 'responseReceived',
        now: at,
        attempt: step.attempt,
        response: response(step.status, step.isUnprocessed),
      };
    case 'attemptFailed':
      return {
        kind: 'attemptFailed',
        now: at,
        attempt: step.attempt,
        mayHaveReachedOrigin: step.mayHaveReachedOrigin,
        text: 'connection reset',
      };
    default:
      return { kind: step.kind, now: at };
  }
};

interface ObservedEffects {
  readonly outcomes: RequestOutcome[];
  readonly inFlight: Set<number>;
  hasRun: boolean;
  sentCount: number;
}

/** Applies steps to the state machine and checks each effect. */
const runSteps = (
  isIdempotent: boolean,
  maxAttempts: number,
  sequence: readonly Step[],
): ObservedEffects => {
  const observed: ObservedEffects = {
    outcomes: [],
    inFlight: new Set(),
    hasRun: false,
    sentCount: 0,
  };
  let request: RequestState = newRequestState(isIdempotent, maxAttempts, deadline);
  const applyEffects = (effects: readonly RequestEffect[]): void => {
    for (const effect of effects) {
      assert.equal(observed.outcomes.length, 0, 'no effect follows the outcome');
      if (effect.kind === 'sendAttempt') {
        assert.ok(
          isIdempotent || (!observed.hasRun && observed.inFlight.size === 0),
          'a non-idempotent request is sent again only if no origin has run it',
        );
        observed.inFlight.add(effect.attempt);
        observed.sentCount += 1;
        assert.ok(observed.sentCount <= maxAttempts, 'no more attempts than allowed');
      } else if (effect.kind === 'cancelAttempt') {
        observed.inFlight.delete(effect.attempt);
        observed.hasRun = true;
      } else if (effect.kind === 'finishRequest') {
        observed.outcomes.push(effect.outcome);
      }
    }
  };
  applyEffects(requestTransition(request, { kind: 'started', now: at }).effects);
  sequence.forEach((step, number) => {
    const event = eventOf(step, number);
    if (event.kind === 'responseReceived' && observed.inFlight.has(event.attempt)) {
      observed.inFlight.delete(event.attempt);
      if (!event.response.isUnprocessed) observed.hasRun = true;
    }
    if (event.kind === 'attemptFailed' && observed.inFlight.has(event.attempt)) {
      observed.inFlight.delete(event.attempt);
      if (event.mayHaveReachedOrigin) observed.hasRun = true;
      else observed.sentCount -= 1;
    }
    const result = requestTransition(request, event);
    request = result.state;
    applyEffects(result.effects);
  });
  return observed;
};

void test('no sequence of responses, failures and delays runs a non-idempotent request twice or rejects it although it may have run', () => {
  fc.assert(
    fc.property(
      fc.boolean(),
      fc.integer({ min: 1, max: 4 }),
      fc.array(steps, { maxLength: 30 }),
      (isIdempotent, maxAttempts, sequence) => {
        const observed = runSteps(isIdempotent, maxAttempts, sequence);
        for (const outcome of observed.outcomes) {
          const claimsNotRun =
            outcome.kind === 'failure'
              ? outcome.errorKind === 'rejected'
              : [408, 421, 429, 503].includes(outcome.response.status);
          if (claimsNotRun && !isIdempotent)
            assert.ok(
              !observed.hasRun && observed.inFlight.size === 0,
              'a claim that the request was not run is made only if no origin has run or will run it',
            );
        }
        assert.ok(observed.outcomes.length <= 1);
      },
    ),
    { seed: 4711, numRuns: 4000 },
  );
});

void test('a request that its origin did not process is sent to another origin, whose response is the outcome', () => {
  let request = newRequestState(false, 2, deadline);
  request = requestTransition(request, {
    kind: 'endpointPicked',
    now: at,
    instance: origin(1),
  }).state;
  const unprocessed = requestTransition(request, {
    kind: 'responseReceived',
    now: at,
    attempt: 1,
    response: response(503, true),
  });
  assert.deepEqual(unprocessed.effects, [{ kind: 'pickEndpoint', isExtra: true }]);
  const retried = requestTransition(unprocessed.state, {
    kind: 'endpointPicked',
    now: at,
    instance: origin(2),
  });
  const result = requestTransition(retried.state, {
    kind: 'responseReceived',
    now: at,
    attempt: 2,
    response: response(200),
  });
  assert.equal(result.effects[0]?.kind, 'finishRequest');
});

void test('a status that implies that the request was not run is not passed on if the request may have run', () => {
  const sent = requestTransition(newRequestState(false, 2, deadline), {
    kind: 'endpointPicked',
    now: at,
    instance: origin(1),
  });
  const result = requestTransition(sent.state, {
    kind: 'responseReceived',
    now: at,
    attempt: 1,
    response: response(503),
  });
  assert.deepEqual(
    result.effects.map((effect) =>
      effect.kind === 'finishRequest' && effect.outcome.kind === 'failure'
        ? effect.outcome.errorKind
        : effect.kind,
    ),
    ['lost'],
  );
});
