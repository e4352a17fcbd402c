/** Guards against unintended changes of the document's fields, defaults and validation messages. */

import { test } from 'node:test';
import { schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { configurationHeader, route } from './schema.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test("the operators' document keeps its fields, defaults and checks", () => {
  matchSnapshot(
    'description',
    `${schemaLines(configurationHeader, 'description')}\n\n${schemaLines(route, 'description.routes[]')}`,
  );
});
