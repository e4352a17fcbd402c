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
import type { Holder } from '@switchwheel/transport';
import { forwardStep } from './forward.js';
import { type Forward, type ForwardEffect, type ForwardEvent, newForward } from './state.js';

const service = toServiceName('shop');
const start = toTimestamp(10_000);

class Bench {
  state: Forward = newForward;
  effects: readonly ForwardEffect[] = [];

  tell(event: ForwardEvent): readonly ForwardEffect[] {
    const done = forwardStep(this.state, event);
    this.state = done.state;
    this.effects = [...this.effects, ...done.effects];
    return done.effects;
  }

  take(name: string, repeatable: boolean): void {
    const route = 'route';
    assert.ok(isRouteName(route));
    this.tell({
      kind: 'take',
      now: start,
      wagon: {
        id: toRequestId(name),
        service,
        generation: noGeneration,
        route,
        group: toClassName('any'),
        method: 'GET',
        host: 'h',
        path: '/',
        fields: [],
        repeatable,
        storable: false,
        until: addMs(start, 5000),
        purged: noSeq,
      },
    });
  }

  keeper(epoch: number, spot: string, at = start): readonly ForwardEffect[] {
    const duty = serviceLeaseOf(service);
    const holder: Holder = {
      duty,
      epoch: toEpoch(epoch),
      node: toNodeId(`k${epoch}`),
      address: toAddress(spot),
    };
    return this.tell({
      kind: 'keepers',
      now: at,
      keepers: new Map<LeaseName, Holder>([[duty, holder]]),
    });
  }
}

const kinds = (list: readonly ForwardEffect[]): readonly string[] =>
  list.map((one) =>
    one.kind === 'fail'
      ? `${one.id} ${one.errorKind}`
      : one.kind === 'ask'
        ? `${one.ask.id} to ${one.to}`
        : `${one.id} ${one.kind}`,
  );

void test('a new keeper: what may run twice moves there, what may not stays and is never asked again', () => {
  const bench = new Bench();
  bench.keeper(1, '10.0.0.1:1');
  bench.take('read', true);
  bench.take('act', false);
  assert.deepEqual(kinds(bench.keeper(2, '10.0.0.2:1')), ['read cancel', 'read to 10.0.0.2:1']);
  const lost = bench.tell({
    kind: 'lost',
    now: start,
    keeper: toAddress('10.0.0.1:1'),
    unsent: new Set(),
  });
  assert.deepEqual(kinds(lost), ['act unknown']);
});

void test('what was not sent goes to the next keeper, writes too; what an earlier keeper may have begun is never told as refused', () => {
  const bench = new Bench();
  bench.keeper(1, '10.0.0.1:1');
  bench.take('act', false);
  bench.take('read', true);
  bench.tell({ kind: 'begun', now: start, from: toAddress('10.0.0.1:1'), id: toRequestId('read') });
  bench.tell({
    kind: 'lost',
    now: start,
    keeper: toAddress('10.0.0.1:1'),
    unsent: new Set([toRequestId('act')]),
  });
  const moved = bench.keeper(2, '10.0.0.2:1');
  assert.deepEqual(kinds(moved).toSorted(), ['act to 10.0.0.2:1', 'read to 10.0.0.2:1']);
  assert.deepEqual(
    moved
      .flatMap((one) => (one.kind === 'ask' ? [[one.ask.id, one.ask.again, one.ask.extra]] : []))
      .toSorted(),
    [
      ['act', false, false],
      ['read', true, true],
    ],
  );
  for (const id of ['act', 'read']) {
    bench.tell({
      kind: 'reject',
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
