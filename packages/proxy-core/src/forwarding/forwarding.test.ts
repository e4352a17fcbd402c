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
  toClassName,
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

class Bench {
  state: Forwarding = initialForwarding;
  effects: readonly ForwardingEffect[] = [];

  tell(event: ForwardingEvent): readonly ForwardingEffect[] {
    const done = forwardingTransition(this.state, event);
    this.state = done.state;
    this.effects = [...this.effects, ...done.effects];
    return done.effects;
  }

  take(name: string, repeatable: boolean): void {
    const route = 'route';
    assert.ok(isRouteName(route));
    this.tell({
      kind: 'requestAccepted',
      now: start,
      request: {
        id: toRequestId(name),
        service,
        generation: noGeneration,
        route,
        className: toClassName('any'),
        method: 'GET',
        host: 'h',
        path: '/',
        fields: [],
        isIdempotent: repeatable,
        isCacheable: false,
        deadline: addMs(start, 5000),
        requiredPurgeSeq: noSeq,
      },
    });
  }

  keeper(epoch: number, spot: string, at = start): readonly ForwardingEffect[] {
    const duty = serviceLeaseOf(service);
    const holder: LeaseHolder = {
      duty,
      epoch: toEpoch(epoch),
      node: toNodeId(`k${epoch}`),
      address: toAddress(spot),
    };
    return this.tell({
      kind: 'leaseHoldersChanged',
      now: at,
      leaseHolders: new Map<LeaseName, LeaseHolder>([[duty, holder]]),
    });
  }
}

const kinds = (list: readonly ForwardingEffect[]): readonly string[] =>
  list.map((one) =>
    one.kind === 'failRequest'
      ? `${one.id} ${one.errorKind}`
      : one.kind === 'sendRequest'
        ? `${one.request.id} to ${one.to}`
        : `${one.id} ${one.kind}`,
  );

void test('a new keeper: what may run twice moves there, what may not stays and is never asked again', () => {
  const bench = new Bench();
  bench.keeper(1, '10.0.0.1:1');
  bench.take('read', true);
  bench.take('act', false);
  assert.deepEqual(kinds(bench.keeper(2, '10.0.0.2:1')), [
    'read cancelRequest',
    'read to 10.0.0.2:1',
  ]);
  const lost = bench.tell({
    kind: 'channelLost',
    now: start,
    leader: toAddress('10.0.0.1:1'),
    unsentIds: new Set(),
  });
  assert.deepEqual(kinds(lost), ['act unknown']);
});

void test('what was not sent goes to the next keeper, writes too; what an earlier keeper may have begun is never told as refused', () => {
  const bench = new Bench();
  bench.keeper(1, '10.0.0.1:1');
  bench.take('act', false);
  bench.take('read', true);
  bench.tell({
    kind: 'attemptStarted',
    now: start,
    from: toAddress('10.0.0.1:1'),
    id: toRequestId('read'),
  });
  bench.tell({
    kind: 'channelLost',
    now: start,
    leader: toAddress('10.0.0.1:1'),
    unsentIds: new Set([toRequestId('act')]),
  });
  const moved = bench.keeper(2, '10.0.0.2:1');
  assert.deepEqual(kinds(moved).toSorted(), ['act to 10.0.0.2:1', 'read to 10.0.0.2:1']);
  assert.deepEqual(
    moved
      .flatMap((one) =>
        one.kind === 'sendRequest' ? [[one.request.id, one.request.again, one.request.extra]] : [],
      )
      .toSorted(),
    [
      ['act', false, false],
      ['read', true, true],
    ],
  );
  for (const id of ['act', 'read']) {
    bench.tell({
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
    kinds(bench.effects).filter((one) => !one.includes(' to ')),
    ['act rejected', 'read lost'],
  );
});

void test('without a keeper a request waits for as long as a change takes, and is then told at once', () => {
  const bench = new Bench();
  bench.take('act', false);
  assert.deepEqual(kinds(bench.tell({ kind: 'tick', now: addMs(start, 1900) })), []);
  assert.deepEqual(kinds(bench.tell({ kind: 'tick', now: addMs(start, 2200) })), ['act rejected']);
});
