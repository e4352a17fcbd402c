/** Guards the registry's settings, its help text, and its exit code for invalid settings. */

import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { program, settingsSchema } from './settings.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'registry.js');

void test('the settings of the registry have the recorded names, types and checks', () => {
  const flags = program.settings.map(
    (setting) => `--${setting.name} ${setting.type}: ${setting.help}`,
  );
  matchSnapshot('settings', `${flags.join('\n')}\n\n${schemaLines(settingsSchema, 'settings')}`);
});

void test('the registry prints the recorded help, and exits with code 2 for invalid settings', async () => {
  const commonFlags = ['--node', 'r1', '--area', 'a', '--listen', '127.0.0.1:1', '--door', 'here'];
  matchSnapshot(
    'command-line',
    await runCommands(script, 'registry', [
      { args: ['--help'] },
      { args: [...commonFlags, '--limit', '0', '--seeds', 'nowhere', '--odd', '1'] },
    ]),
  );
});
