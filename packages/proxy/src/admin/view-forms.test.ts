/** Guards the keys and value types of the operators' state view against unintended changes. */

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
const playClass = { name: play, share: 0.5, lendsTo: [] };
const now = toTimestamp(1000);
const queuedRequest = {
  id: toRequestId('q1'),
  className: play,
  isIdempotent: true,
  arrivedAt: now,
  deadline: now,
  attemptCount: 0,
  triedInstances: new Set<never>(),
  mayHaveRun: false,
};
const serviceConfiguration = { name: service, waitlist: 1, probe: { path: '/', everyMs: 500 } };
const idleLeader = newServiceLeader(service, toEpoch(1), serviceConfiguration, new Map(), now);
const busyLeader: ServiceLeader = {
  ...idleLeader,
  serviceConfiguration: { ...idleLeader.serviceConfiguration, perSecond: 10 },
  classes: new Map([[play, playClass]]),
  queues: new Map([[play, [queuedRequest]]]),
  activeRequests: new Map([[queuedRequest.id, queuedRequest]]),
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

void test('the keys and value types of the state view match the snapshot', () => {
  const initialState = newProxyState(member, [], { seed: 1 });
  const busyView = proxyView({ ...initialState, leaders: new Map([[service, busyLeader]]) });
  const idleView = proxyView({ ...initialState, leaders: new Map([[service, idleLeader]]) });
  matchSnapshot(
    'admin-state',
    `with work:\n${jsonShape(busyView)}\n\nwithout work:\n${jsonShape(idleView)}`,
  );
});
