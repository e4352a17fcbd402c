/** Guards against unintended changes of the command line: tables, help text and exit codes. */

import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, snapshotsFor } from '@switchwheel/types/testing';
import { tables } from './table/tables.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'query-shell.js');
const unreachableRegistry = ['--registry', '127.0.0.1:1'];

void test('the names and columns of the tables match the snapshot', () => {
  const lines = [...tables].map(([name, table]) => `${name}: ${table.columns.join(', ')}`);
  matchSnapshot('tables', lines.join('\n'));
});

void test('the help text and the exit codes match the snapshot', async () => {
  matchSnapshot(
    'command-line',
    await runCommands(script, 'query-shell', [
      { args: ['--help'] },
      { args: ['nodes', '--odd', ...unreachableRegistry] },
      { args: ['nodes'], env: { SWITCHWHEEL_REGISTRY: 'there' } },
      { args: ['no-such-table', ...unreachableRegistry] },
      { args: ['nodes', ...unreachableRegistry] },
      { args: ['services', '--json', ...unreachableRegistry] },
    ]),
  );
});
