import { test } from 'node:test';
import { schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { deploymentSchema } from './schema.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test('the deployment file of devfleet keeps its members, defaults and checks', () => {
  matchSnapshot('deployment', schemaLines(deploymentSchema, 'deployment'));
});
