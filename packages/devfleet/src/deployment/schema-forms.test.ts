/** Guards the schema of the deployment file against unintended changes. */

import { test } from 'node:test';
import { schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { deploymentSchema } from './schema.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test('members, defaults and checks of the deployment file match the snapshot', () => {
  matchSnapshot('deployment', schemaLines(deploymentSchema, 'deployment'));
});
