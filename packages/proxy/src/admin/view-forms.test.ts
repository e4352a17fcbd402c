/** The admin view keeps the keys and forms that operators know. */

import { test } from 'node:test';
import {
  toAddress,
  toZoneName,
  toRequestId,
  toServiceClassName,
  toEpoch,
  toIncarnation,
  toInstanceId,
  toTimestamp,
  toNodeId,
  toRelease,
  toServiceName,
} from '@switchwheel/types';
import { jsonShape, snapshotsFor } from '@switchwheel/types/testing';
import { type ServiceLeader, newServiceLeader, newProxyState } from '@switchwheel/proxy-core';
import { proxyView } from './proxy-view.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const member = {
  node: toNodeId('p1'),
  role: 'shield' as const,
  area: toZoneName('a'),
  address: toAddress('127.0.0.1:1'),
  incarnation: toIncarnation(1),
};
const service = toServiceName('clips');
const play = toServiceClassName('play');
const release = toRelease('r2');
const group = { name: play, share: 0.5, lendsTo: [] };
const now = toTimestamp(1000);
const load = {
  id: toRequestId('q1'),
  className: play,
  isIdempotent: true,
  arrivedAt: now,
  deadline: now,
  attemptCount: 0,
  triedInstances: new Set<never>(),
  mayHaveRun: false,
};
const rules = { name: service, waitlist: 1, probe: { path: '/', everyMs: 500 } };
const empty = newServiceLeader(service, toEpoch(1), rules, new Map(), now);
const busy: ServiceLeader = {
  ...empty,
  serviceConfiguration: { ...empty.serviceConfiguration, perSecond: 10 },
  classes: new Map([[play, group]]),
  queues: new Map([[play, [load]]]),
  activeRequests: new Map([[load.id, load]]),
  endpoints: new Map([
    [
      toInstanceId('i1'),
      {
        instance: toInstanceId('i1'),
        address: toAddress('127.0.0.1:2'),
        release,
        slots: 4,
        activeAttempts: 1,
        lastAttemptId: 0,
        lastCheckedAt: undefined,
        isLive: true,
        health: {
          consecutiveFailures: 0,
          latencyEwmaMs: 5.4,
          latencySamples: 1,
          ejectedUntil: now,
          ejectionLevel: 0,
          healthCheck: 'good' as const,
        },
      },
    ],
  ]),
  canaries: new Map([
    [
      release,
      {
        release,
        reservedRequests: 9,
        usedRequests: 1,
        successes: 1,
        failures: 0,
        failureScore: 0,
        priorTraffic: 0,
        requestCountAtStart: 0,
        startedAt: now,
        reportedAt: undefined,
        reportedFailures: 0,
        state: 'trial' as const,
        isStored: true,
      },
    ],
  ]),
};

void test('the state that a proxy shows its operators keeps its keys', () => {
  const fresh = newProxyState(member, [], { seed: 1 });
  const view = proxyView({ ...fresh, leaders: new Map([[service, busy]]) });
  const without = proxyView({ ...fresh, leaders: new Map([[service, empty]]) });
  matchSnapshot(
    'admin-state',
    `with work:\n${jsonShape(view)}\n\nwithout work:\n${jsonShape(without)}`,
  );
});
