/** Guards the help text, error messages and exit codes of devfleet against unintended changes. */

import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, snapshotsFor } from '@switchwheel/types/testing';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'devfleet.js');

void test('the help of devfleet, its error messages and exit codes match the snapshot', async () => {
  matchSnapshot(
    'command-line',
    await runCommands(script, 'devfleet', [
      { args: ['--help'] },
      { args: ['run', 'no-such-file.json'] },
      { args: ['run', 'x', '--seconds', '0'] },
      { args: ['soak', 'x', '--seed', '-1'] },
    ]),
  );
});
