/**
 * Holds the form of every frame word for word. Processes of two versions talk to each other during an upgrade, so a
 * difference from the fixture is a change of the protocol and not only of names in the code.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { type Outline, outlineSchema, outlineSchemas } from '@switchwheel/types/testing';
import {
  clusterMetadata,
  controlFrames,
  leaseGrantRecord,
  tableMutation,
  logPosition,
} from './control.js';
import { dataFrames, headerFields } from './data.js';
import * as members from './member.js';
import { objectFrames } from './object.js';

const fixture: unknown = JSON.parse(
  readFileSync(new URL('../../fixtures/frame-schemas.json', import.meta.url), 'utf8'),
);

const frames = [...controlFrames, ...dataFrames, ...objectFrames];

const outlineFrames = (): Readonly<Record<string, Outline>> =>
  Object.fromEntries(frames.map((frame) => [frame.entries.kind.literal, outlineSchema(frame)]));

const outlineParts = (): Readonly<Record<string, Outline>> =>
  outlineSchemas({
    put: tableMutation,
    stamp: logPosition,
    clusterMetadata,
    grantRecord: leaseGrantRecord,
    headerFields: headerFields,
    health: members.health,
    role: members.role,
    report: members.nodeStatus,
    member: members.member,
    session: members.sessionRecord,
    origin: members.originInstance,
    holder: members.leaseHolder,
    electorate: members.electorate,
    purgeTarget: members.purgeTarget,
    purge: members.purge,
    offer: members.configManifest,
    verdict: members.canaryResult,
    releasePhase: members.rolloutPhase,
    releaseState: members.rolloutState,
    tallyRow: members.releaseCounts,
  });

void test('every frame and every part that frames share has the form that peers expect', () => {
  assert.deepEqual({ frames: outlineFrames(), parts: outlineParts() }, fixture);
});

void test('no two frames have the same kind', () => {
  assert.equal(new Set(frames.map((frame) => frame.entries.kind.literal)).size, frames.length);
});
