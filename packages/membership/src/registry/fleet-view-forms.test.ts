/** Guards against renamed or missing fields of the operators' fleet view. */

import { test } from 'node:test';
import {
  primaryLease,
  toAddress,
  toZoneName,
  toEpoch,
  toGeneration,
  toHash,
  toIncarnation,
  toInstanceId,
  toTimestamp,
  toNodeId,
  toRelease,
  toSeq,
  toServiceName,
  toDurationMs,
} from '@switchwheel/types';
import { jsonShape, snapshotsFor } from '@switchwheel/types/testing';
import type { Member } from '@switchwheel/transport';
import { fleetView } from './fleet-view.js';
import { newRegistryState } from './state.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const now = toTimestamp(5000);
const hash = toHash('a'.repeat(64));
const version = { generation: toGeneration(4), hash };

const member = (role: Member['role'], node: string): Member => ({
  node: toNodeId(node),
  role,
  area: toZoneName('a'),
  address: toAddress('10.0.0.1:1'),
  door: toAddress('10.0.0.1:2'),
  admin: toAddress('10.0.0.1:3'),
  incarnation: toIncarnation(1),
});

void test('the fleet view of a registry keeps its fields', () => {
  const edge = member('edge', 'e1');
  const initialState = newRegistryState(member('registry', 'r1'), [], now, { seed: 1 });
  const session = {
    member: edge,
    report: {
      ...version,
      phase: 'failed' as const,
      failed: { ...version, text: 'why' },
      health: { name: 'node', healthy: true, text: '', parts: [] },
      ready: true,
    },
    registry: initialState.member.node,
    seq: toSeq(1),
    open: true,
    lastHeardAt: now,
  };
  const instance = toInstanceId('i1');
  const origin = {
    service: toServiceName('clips'),
    instance,
    address: toAddress('10.0.0.9:1'),
    release: toRelease('r1'),
    slots: 4,
    state: 'up' as const,
    area: edge.area,
    calls: toSeq(1),
    coldMs: toDurationMs(0),
    lastHeardAt: now,
  };
  const grant = {
    epoch: toEpoch(2),
    node: edge.node,
    leaseHolder: edge.node,
    inSyncSet: [edge.node],
    leaseEndsAt: now,
  };
  const holder = { duty: primaryLease, epoch: toEpoch(2), node: edge.node, address: edge.address };
  const canaryResult = {
    service: origin.service,
    release: origin.release,
    state: 'trial' as const,
    spent: 1,
    bad: 0,
    good: 1,
    seen: 1,
  };
  const members = [{ node: edge.node, address: edge.address }];
  const view = fleetView(
    {
      ...initialState,
      electorate: { serial: toSeq(1), members },
      voter: { ...initialState.voter, grants: new Map([[primaryLease, grant]]) },
      sessions: new Map([[edge.node, session]]),
      origins: new Map([[instance, origin]]),
      holders: new Map([[primaryLease, holder]]),
      feed: {
        ...initialState.feed,
        asOf: now,
        desired: new Map([[edge.node, version]]),
        canaryResults: [canaryResult],
      },
    },
    now,
  );
  matchSnapshot('fleet-view', jsonShape(view));
});
