import { test } from 'node:test';
import { schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { configurationHeader, route } from './schema.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test('the file that operators apply keeps its members, defaults and checks', () => {
  matchSnapshot(
    'description',
    `${schemaLines(configurationHeader, 'description')}\n\n${schemaLines(route, 'description.routes[]')}`,
  );
});
