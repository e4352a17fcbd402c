/**
 * Guards against accidental protocol changes: processes of two versions talk to each other during an upgrade, so
 * every difference from the fixture is a change of the wire protocol.
 */

import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { type Outline, outlineSchema, outlineSchemas } from '@switchwheel/types/testing';
import * as configuration from '../record/configuration.js';
import * as lease from '../record/lease.js';
import * as node from '../record/node.js';
import * as origin from '../record/origin.js';
import * as replication from '../record/replication.js';
import * as rollout from '../record/rollout.js';
import { headerFields } from './edge-shield.js';
import { type Frame, deserializeFrame, frameSchemas, serializeFrame } from './frame.js';

const fixture: unknown = JSON.parse(
  readFileSync(new URL('../../fixtures/frame-schemas.json', import.meta.url), 'utf8'),
);

const outlineFrames = (): Readonly<Record<string, Outline>> =>
  Object.fromEntries(
    frameSchemas.map((frame) => [frame.entries.kind.literal, outlineSchema(frame)]),
  );

const outlineParts = (): Readonly<Record<string, Outline>> =>
  outlineSchemas({
    put: replication.tableMutation,
    stamp: replication.logPosition,
    clusterMetadata: replication.clusterMetadata,
    grantRecord: lease.leaseGrantRecord,
    headerFields,
    health: node.health,
    role: node.role,
    report: node.nodeStatus,
    member: node.member,
    session: node.sessionRecord,
    origin: origin.originInstance,
    holder: lease.leaseHolder,
    electorate: lease.electorate,
    purgeTarget: configuration.purgeTarget,
    purge: configuration.purge,
    offer: configuration.configManifest,
    verdict: rollout.canaryResult,
    releasePhase: rollout.rolloutPhase,
    releaseState: rollout.rolloutState,
    tallyRow: rollout.releaseCounts,
  });

void test('all frames and the records in them match the committed wire format', () => {
  assert.deepEqual({ frames: outlineFrames(), parts: outlineParts() }, fixture);
});

void test('each frame has a unique kind', () => {
  assert.equal(
    new Set(frameSchemas.map((frame) => frame.entries.kind.literal)).size,
    frameSchemas.length,
  );
});

void test('numbers of requests for objects stay exact up to the largest safe integer', () => {
  for (const id of [1, 2 ** 31, 2 ** 32, 2 ** 52 + 1, Number.MAX_SAFE_INTEGER]) {
    const frame: Frame = { kind: 'object-status', id, state: 'fetching' };
    assert.deepEqual(deserializeFrame(serializeFrame(frame)).unwrapOr(undefined), frame);
  }
});
