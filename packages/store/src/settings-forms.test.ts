/** Holds the store's settings, its help, and its exit codes for wrong use. */

import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { program, settingsSchema } from './settings.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'store.js');

void test('the settings of the store keep their names, types and checks', () => {
  const flags = program.settings.map((one) => `--${one.name} ${one.type}: ${one.help}`);
  matchSnapshot('settings', `${flags.join('\n')}\n\n${schemaLines(settingsSchema, 'settings')}`);
});

void test('the help of the store and its exit codes for wrong use stay', async () => {
  const place = [
    '--node',
    's1',
    '--area',
    'a',
    '--listen',
    '127.0.0.1:1',
    '--seeds',
    '127.0.0.1:2',
  ];
  matchSnapshot(
    'command-line',
    await runCommands(script, 'store', [
      { args: ['--help'] },
      { args: [...place, '--admin', 'here', '--copies', '0', '--electorate', 'other', 'word'] },
    ]),
  );
});
