import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import {
  type InstanceId,
  type Timestamp,
  subtractMs,
  toAddress,
  toInstanceId,
  toRelease,
  toServiceName,
  toTimestamp,
} from '@switchwheel/types';
import type { OriginInstance } from '@switchwheel/transport';
import { applyPuts, emptyControlState } from '@switchwheel/configuration';
import type { KnownOrigin } from '@switchwheel/membership';
import { originPuts } from './origin-records.js';

const now: Timestamp = toTimestamp(100_000);
const seen = (number: number, state: KnownOrigin['state'], silentMs: number): KnownOrigin => ({
  service: toServiceName('clips'),
  instance: toInstanceId(`o${number}`),
  address: toAddress(`10.0.0.${number}:80`),
  release: toRelease('r1'),
  slots: 4,
  state,
  lastHeardAt: subtractMs(now, silentMs),
});
const list = fc.array(
  fc.record({
    number: fc.integer({ min: 1, max: 9 }),
    state: fc.constantFrom<KnownOrigin['state']>('up', 'leaving', 'gone'),
    silentMs: fc.constantFrom(0, 900, 11_000),
  }),
);
const mapOf = (
  rows: readonly {
    readonly number: number;
    readonly state: KnownOrigin['state'];
    readonly silentMs: number;
  }[],
): ReadonlyMap<InstanceId, KnownOrigin> =>
  new Map(
    rows.map((one) => [toInstanceId(`o${one.number}`), seen(one.number, one.state, one.silentMs)]),
  );
const record = (rows: readonly KnownOrigin[]): ReadonlyMap<InstanceId, OriginInstance> =>
  applyPuts(
    emptyControlState,
    originPuts(new Map(), new Map(rows.map((one) => [one.instance, one])), false, now),
  ).origins;

void test('the record holds just the origins that stand; one that was never heard of stays until that is sure', () => {
  fc.assert(
    fc.property(list, list, fc.boolean(), (before, after, sure) => {
      const known = record([...mapOf(before).values()]);
      const heard = mapOf(after);
      const control = applyPuts(
        { ...emptyControlState, origins: known },
        originPuts(known, heard, sure, now),
      );
      for (const one of heard.values())
        assert.equal(
          control.origins.has(one.instance),
          one.state === 'up' && now - one.lastHeardAt < 10_000,
        );
      for (const instance of known.keys())
        if (!heard.has(instance)) assert.equal(control.origins.has(instance), !sure);
      assert.deepEqual(
        originPuts(control.origins, heard, sure, now),
        [],
        'and then nothing is written',
      );
    }),
    { seed: 3 },
  );
});
