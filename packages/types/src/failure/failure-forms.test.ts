/** Guards against accidental changes of error kinds, which are part of the wire protocol. */

import { test } from 'node:test';
import { snapshotsFor } from '../testing/index.js';
import { errorKinds, errorResponseFor } from './failure.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test('error kinds keep their name, status and retry-after', () => {
  const lines = errorKinds.map((kind) => {
    const { status, didNotRun, retryAfter } = errorResponseFor(kind);
    const ran = didNotRun ? 'has not run' : 'may have run';
    return `${kind}: ${status}, ${ran}, retry-after ${retryAfter ?? 'none'}`;
  });
  matchSnapshot('error-kinds', lines.join('\n'));
});
