/** The settings of the proxy keep their names and forms. */

import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { program, settingsSchema } from './settings.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', '..', 'bin', 'proxy.js');

void test('the settings of the proxy keep their names, types and checks', () => {
  const flags = program.settings.map((one) => `--${one.name} ${one.type}: ${one.help}`);
  matchSnapshot('settings', `${flags.join('\n')}\n\n${schemaLines(settingsSchema, 'settings')}`);
});

void test('the help of the proxy and its exit codes for wrong use stay', async () => {
  const place = ['--node', 'p1', '--area', 'a', '--listen', '127.0.0.1:1', '--admin', 'here'];
  matchSnapshot(
    'command-line',
    await runCommands(script, 'proxy', [
      { args: ['--help'] },
      { args: [...place, '--role', 'other', '--cache', '0', '--seeds', 'nowhere', '--odd', '1'] },
    ]),
  );
});
