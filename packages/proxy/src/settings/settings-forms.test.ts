/** Guards the settings and help of the proxy command against unintended changes. */

import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { program, settingsSchema } from './settings.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', '..', 'bin', 'proxy.js');

void test('the names, types and validation of the settings match the snapshot', () => {
  const flags = program.settings.map(
    (setting) => `--${setting.name} ${setting.type}: ${setting.help}`,
  );
  matchSnapshot('settings', `${flags.join('\n')}\n\n${schemaLines(settingsSchema, 'settings')}`);
});

void test('the help text and the exit code for invalid settings match the snapshot', async () => {
  const nodeArguments = [
    '--node',
    'p1',
    '--area',
    'a',
    '--listen',
    '127.0.0.1:1',
    '--admin',
    'here',
  ];
  matchSnapshot(
    'command-line',
    await runCommands(script, 'proxy', [
      { args: ['--help'] },
      {
        args: [
          ...nodeArguments,
          '--role',
          'other',
          '--cache',
          '0',
          '--seeds',
          'nowhere',
          '--odd',
          '1',
        ],
      },
    ]),
  );
});
