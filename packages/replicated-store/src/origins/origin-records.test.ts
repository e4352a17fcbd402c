/** Guards against records of dead origins, and against losing those of departed ones or of ones that have yet to announce themselves. */

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
const announcedOrigin = (
  number: number,
  state: KnownOrigin['state'],
  silentMs: number,
): KnownOrigin => ({
  service: toServiceName('clips'),
  instance: toInstanceId(`o${number}`),
  address: toAddress(`10.0.0.${number}:80`),
  release: toRelease('r1'),
  slots: 4,
  state,
  lastHeardAt: subtractMs(now, silentMs),
});
const originRows = fc.array(
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
    rows.map((row) => [
      toInstanceId(`o${row.number}`),
      announcedOrigin(row.number, row.state, row.silentMs),
    ]),
  );
const recordsOf = (
  rows: readonly KnownOrigin[],
  recordsLiveOrigins: boolean,
): ReadonlyMap<InstanceId, OriginInstance> =>
  applyPuts(
    emptyControlState,
    originPuts(
      new Map(),
      new Map(rows.map((origin) => [origin.instance, origin])),
      { recordsLiveOrigins, isAnnouncementComplete: false },
      now,
    ),
  ).origins;

const ranks: readonly KnownOrigin['state'][] = ['up', 'leaving', 'gone'];
const furthest = (states: readonly KnownOrigin['state'][]): KnownOrigin['state'] =>
  states.reduce((first, second) => (ranks.indexOf(second) > ranks.indexOf(first) ? second : first));

/** State in which an announced origin must be recorded; undefined if it must not be. */
const expectedState = (
  origin: KnownOrigin,
  recorded: OriginInstance | undefined,
  recordsLiveOrigins: boolean,
): KnownOrigin['state'] | undefined => {
  const state = furthest([origin.state, recorded?.state ?? 'up']);
  const isLive = recordsLiveOrigins && now - origin.lastHeardAt < 10_000;
  return state !== 'up' || isLive ? state : undefined;
};

void test('records match the live and the departed origins; one that was not announced is kept until all announcements are in', () => {
  fc.assert(
    fc.property(
      originRows,
      originRows,
      fc.boolean(),
      fc.boolean(),
      (before, after, isAnnouncementComplete, recordsLiveOrigins) => {
        const recorded = recordsOf([...mapOf(before).values()], recordsLiveOrigins);
        const announced = mapOf(after);
        const recording = { recordsLiveOrigins, isAnnouncementComplete };
        const control = applyPuts(
          { ...emptyControlState, origins: recorded },
          originPuts(recorded, announced, recording, now),
        );
        for (const origin of announced.values())
          assert.equal(
            control.origins.get(origin.instance)?.state,
            expectedState(origin, recorded.get(origin.instance), recordsLiveOrigins),
          );
        for (const instance of recorded.keys())
          if (!announced.has(instance))
            assert.equal(control.origins.has(instance), !isAnnouncementComplete);
        assert.deepEqual(
          originPuts(control.origins, announced, recording, now),
          [],
          'a second comparison writes nothing',
        );
      },
    ),
    { seed: 3 },
  );
});
