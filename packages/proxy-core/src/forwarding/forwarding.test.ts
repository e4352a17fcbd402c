/**
 * Guards against unsafe retries of forwarded requests and wrong error kinds when a leader changes or is lost.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  type LeaseName,
  serviceLeaseOf,
  addMs,
  noGeneration,
  noSeq,
  toAddress,
  toRequestId,
  toServiceClassName,
  toEpoch,
  toTimestamp,
  toNodeId,
  toServiceName,
  isRouteName,
} from '@switchwheel/types';
import type { LeaseHolder } from '@switchwheel/transport';
import { forwardingTransition } from './forwarding.js';
import {
  type Forwarding,
  type ForwardingEffect,
  type ForwardingEvent,
  initialForwarding,
} from './state.js';

const service = toServiceName('shop');
const start = toTimestamp(10_000);

/** Runs the reducer and keeps its state and effects. */
class Fixture {
  state: Forwarding = initialForwarding;
  effects: readonly ForwardingEffect[] = [];

  dispatch(event: ForwardingEvent): readonly ForwardingEffect[] {
    const result = forwardingTransition(this.state, event);
    this.state = result.state;
    this.effects = [...this.effects, ...result.effects];
    return result.effects;
  }

  accept(name: string, isIdempotent: boolean): void {
    const route = 'route';
    assert.ok(isRouteName(route));
    this.dispatch({
      kind: 'requestAccepted',
      now: start,
      request: {
        id: toRequestId(name),
        service,
        generation: noGeneration,
        route,
        className: toServiceClassName('any'),
        method: 'GET',
        host: 'h',
        path: '/',
        fields: [],
        isIdempotent,
        isCacheable: false,
        deadline: addMs(start, 5000),
        requiredPurgeSeq: noSeq,
      },
    });
  }

  changeLeader(epoch: number, address: string): readonly ForwardingEffect[] {
    const lease = serviceLeaseOf(service);
    const holder: LeaseHolder = {
      duty: lease,
      epoch: toEpoch(epoch),
      node: toNodeId(`leader-${epoch}`),
      address: toAddress(address),
    };
    return this.dispatch({
      kind: 'leaseHoldersChanged',
      now: start,
      leaseHolders: new Map<LeaseName, LeaseHolder>([[lease, holder]]),
    });
  }
}

const summarize = (effect: ForwardingEffect): string => {
  switch (effect.kind) {
    case 'failRequest':
      return `${effect.id} ${effect.errorKind}`;
    case 'sendRequest':
      return `${effect.request.id} to ${effect.to}`;
    default:
      return `${effect.id} ${effect.kind}`;
  }
};
const summaries = (effects: readonly ForwardingEffect[]): readonly string[] =>
  effects.map(summarize);

void test('on a change of leader, idempotent requests move to the new leader and others stay and are never retried', () => {
  const fixture = new Fixture();
  fixture.changeLeader(1, '10.0.0.1:1');
  fixture.accept('read', true);
  fixture.accept('act', false);
  assert.deepEqual(summaries(fixture.changeLeader(2, '10.0.0.2:1')), [
    'read cancelRequest',
    'read to 10.0.0.2:1',
  ]);
  const lost = fixture.dispatch({
    kind: 'channelLost',
    now: start,
    leader: toAddress('10.0.0.1:1'),
    unsentIds: new Set(),
  });
  assert.deepEqual(summaries(lost), ['act unknown']);
});

void test('an unsent request is sent to the next leader even if it is not idempotent, and one that may have run is never reported as rejected', () => {
  const fixture = new Fixture();
  fixture.changeLeader(1, '10.0.0.1:1');
  fixture.accept('act', false);
  fixture.accept('read', true);
  fixture.dispatch({
    kind: 'attemptStarted',
    now: start,
    from: toAddress('10.0.0.1:1'),
    id: toRequestId('read'),
  });
  fixture.dispatch({
    kind: 'channelLost',
    now: start,
    leader: toAddress('10.0.0.1:1'),
    unsentIds: new Set([toRequestId('act')]),
  });
  const moved = fixture.changeLeader(2, '10.0.0.2:1');
  assert.deepEqual(summaries(moved).toSorted(), ['act to 10.0.0.2:1', 'read to 10.0.0.2:1']);
  assert.deepEqual(
    moved
      .flatMap((effect) =>
        effect.kind === 'sendRequest'
          ? [[effect.request.id, effect.request.again, effect.request.extra]]
          : [],
      )
      .toSorted(),
    [
      ['act', false, false],
      ['read', true, true],
    ],
  );
  for (const id of ['act', 'read']) {
    fixture.dispatch({
      kind: 'requestRejected',
      now: start,
      from: toAddress('10.0.0.2:1'),
      frame: {
        kind: 'reject',
        id: toRequestId(id),
        errorKind: 'rejected',
        text: '',
        retryAfter: 1,
        moved: false,
      },
    });
  }
  assert.deepEqual(
    summaries(fixture.effects).filter((summary) => !summary.includes(' to ')),
    ['act rejected', 'read lost'],
  );
});

void test('without a leader, a request is rejected after the grace period', () => {
  const fixture = new Fixture();
  fixture.accept('act', false);
  assert.deepEqual(summaries(fixture.dispatch({ kind: 'tick', now: addMs(start, 1900) })), []);
  assert.deepEqual(summaries(fixture.dispatch({ kind: 'tick', now: addMs(start, 2200) })), [
    'act rejected',
  ]);
});
