import { test } from 'node:test';
import { snapshotsFor } from '../testing/index.js';
import { errorKinds, responseFor } from './failure.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);

void test('each error kind keeps its name, status and retry-after', () => {
  const lines = errorKinds.map((kind) => {
    const { status, unrun, retryAfter } = responseFor(kind);
    const ran = unrun ? 'has not run' : 'may have run';
    return `${kind}: ${status}, ${ran}, retry-after ${retryAfter ?? 'none'}`;
  });
  matchSnapshot('error-kinds', lines.join('\n'));
});
