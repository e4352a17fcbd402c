import { join } from 'node:path';
import { test } from 'node:test';
import { runCommands, schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import { program, settingsSchema } from './settings.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'registry.js');

void test('the settings of the registry keep their names, types and checks', () => {
  const flags = program.settings.map((one) => `--${one.name} ${one.type}: ${one.help}`);
  matchSnapshot('settings', `${flags.join('\n')}\n\n${schemaLines(settingsSchema, 'settings')}`);
});

void test('the help of the registry and its exit codes for wrong use stay', async () => {
  const place = ['--node', 'r1', '--area', 'a', '--listen', '127.0.0.1:1', '--door', 'here'];
  matchSnapshot(
    'command-line',
    await runCommands(script, 'registry', [
      { args: ['--help'] },
      { args: [...place, '--limit', '0', '--seeds', 'nowhere', '--odd', '1'] },
    ]),
  );
});
