/**
 * Guards against changes of the schemas of configurations, which operators write and stores keep on disk, and of stored
 * release rollouts.
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

void test('the schemas of configurations and stored release rollouts are unchanged', () => {
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
