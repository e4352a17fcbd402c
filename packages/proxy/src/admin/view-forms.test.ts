import { test } from 'node:test';
import {
  toAddress,
  toZoneName,
  toRequestId,
  toClassName,
  toEpoch,
  toIncarnation,
  toInstanceId,
  toTimestamp,
  toNodeId,
  toRelease,
  toServiceName,
} from '@switchwheel/types';
import { jsonShape, snapshotsFor } from '@switchwheel/types/testing';
import { type Keeper, newKeeper, newProxy } from '@switchwheel/proxy-core';
import { proxyView } from './view.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const member = {
  node: toNodeId('p1'),
  role: 'shield' as const,
  area: toZoneName('a'),
  address: toAddress('127.0.0.1:1'),
  incarnation: toIncarnation(1),
};
const service = toServiceName('clips');
const play = toClassName('play');
const release = toRelease('r2');
const group = { name: play, share: 0.5, lendsTo: [] };
const now = toTimestamp(1000);
const load = {
  id: toRequestId('q1'),
  group: play,
  repeatable: true,
  came: now,
  until: now,
  legs: 0,
  tried: new Set<never>(),
  begun: false,
};
const rules = { name: service, waitlist: 1, probe: { path: '/', everyMs: 500 } };
const empty = newKeeper(service, toEpoch(1), rules, new Map(), now);
const busy: Keeper = {
  ...empty,
  rules: { ...empty.rules, perSecond: 10 },
  groups: new Map([[play, group]]),
  waiting: new Map([[play, [load]]]),
  running: new Map([[load.id, load]]),
  bays: new Map([
    [
      toInstanceId('i1'),
      {
        instance: toInstanceId('i1'),
        address: toAddress('127.0.0.1:2'),
        release,
        slots: 4,
        used: 1,
        lastLeg: 0,
        probed: undefined,
        up: true,
        fit: {
          streak: 0,
          typical: 5.4,
          samples: 1,
          barredUntil: now,
          barred: 0,
          probe: 'good' as const,
        },
      },
    ],
  ]),
  trials: new Map([
    [
      release,
      {
        release,
        granted: 9,
        used: 1,
        good: 1,
        bad: 0,
        strain: 0,
        base: 0,
        from: 0,
        since: now,
        asked: undefined,
        told: 0,
        state: 'trial' as const,
        stored: true,
      },
    ],
  ]),
};

void test('the state that a proxy shows its operators keeps its keys', () => {
  const fresh = newProxy(member, [], { seed: 1 });
  const view = proxyView({ ...fresh, keepers: new Map([[service, busy]]) });
  const without = proxyView({ ...fresh, keepers: new Map([[service, empty]]) });
  matchSnapshot(
    'admin-state',
    `with work:\n${jsonShape(view)}\n\nwithout work:\n${jsonShape(without)}`,
  );
});
