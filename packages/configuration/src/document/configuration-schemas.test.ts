/**
 * Holds the form of configurations and of stored release orders word for word: operators write the first, and both
 * are on the disks of stores.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { outlineSchemas } from '@switchwheel/types/testing';
import { releaseRollout } from '../release/release-rollout.js';
import * as schemas from './schema.js';

const fixture: unknown = JSON.parse(
  readFileSync(new URL('../../fixtures/configuration-schemas.json', import.meta.url), 'utf8'),
);

void test('configurations and release orders have the form that disks and operators know', () => {
  const outlines = outlineSchemas({
    configurationHead: schemas.configurationHeader,
    serviceClass: schemas.serviceClass,
    service: schemas.service,
    route: schemas.route,
    cachePolicy: schemas.cachePolicy,
    rolloutPolicy: schemas.rolloutPolicy,
    callerLimits: schemas.clientLimits,
    releaseOrder: releaseRollout,
  });
  assert.deepEqual(outlines, fixture);
});
