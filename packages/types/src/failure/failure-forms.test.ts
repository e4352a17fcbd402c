/** Holds the error kinds word for word, as they are part of the protocol. */

import { test } from 'node:test';
import { snapshotsFor } from '../testing/index.js';
import { errorKinds, errorResponseFor } from './failure.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test('each error kind keeps its name, status and retry-after', () => {
  const lines = errorKinds.map((kind) => {
    const { status, didNotRun, retryAfter } = errorResponseFor(kind);
    const ran = didNotRun ? 'has not run' : 'may have run';
    return `${kind}: ${status}, ${ran}, retry-after ${retryAfter ?? 'none'}`;
  });
  matchSnapshot('error-kinds', lines.join('\n'));
});
