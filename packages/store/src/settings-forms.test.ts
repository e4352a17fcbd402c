/** Guards the store's settings, its help text, and its exit code for invalid settings. */

import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { program, settingsSchema } from './settings.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'store.js');

void test('the settings of the store have the recorded names, types and checks', () => {
  const flags = program.settings.map(
    (setting) => `--${setting.name} ${setting.type}: ${setting.help}`,
  );
  matchSnapshot('settings', `${flags.join('\n')}\n\n${schemaLines(settingsSchema, 'settings')}`);
});

void test('the store prints the recorded help, and exits with code 2 for invalid settings', async () => {
  const commonFlags = [
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
      {
        args: [...commonFlags, '--admin', 'here', '--copies', '0', '--electorate', 'other', 'word'],
      },
    ]),
  );
});
