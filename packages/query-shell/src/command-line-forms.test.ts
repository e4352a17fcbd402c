/** The outer form of the command line of query-shell. */

import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, snapshotsFor } from '@switchwheel/types/testing';
import { tables } from './table/tables.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'query-shell.js');
const nobody = ['--registry', '127.0.0.1:1'];

void test('the tables keep their names and columns', () => {
  const lines = [...tables].map(([name, table]) => `${name}: ${table.columns.join(', ')}`);
  matchSnapshot('tables', lines.join('\n'));
});

void test('the help of query-shell and its exit codes stay', async () => {
  matchSnapshot(
    'command-line',
    await runCommands(script, 'query-shell', [
      { args: ['--help'] },
      { args: ['nodes', '--odd', ...nobody] },
      { args: ['nodes'], env: { SWITCHWHEEL_REGISTRY: 'there' } },
      { args: ['no-such-table', ...nobody] },
      { args: ['nodes', ...nobody] },
      { args: ['services', '--json', ...nobody] },
    ]),
  );
});
