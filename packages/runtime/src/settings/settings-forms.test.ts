/** Guards against accidental changes of the settings that all programs have, and of their error messages. */

import { writeFileSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import * as v from 'valibot';
import { schemaLines, snapshotsFor } from '@switchwheel/types/testing';
import {
  type ProgramDefinition,
  commonSettingDefinitions,
  commonSettingsSchema,
} from './settings-definition.js';
import { readSettings } from './settings.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const program: ProgramDefinition = {
  name: 'example',
  description: 'A program with the settings that all have.',
  settings: [...commonSettingDefinitions, { name: 'many', type: 'number', help: 'a number' }],
};
const schema = v.strictObject({ ...commonSettingsSchema, many: v.optional(v.number('a number')) });

const outcome = (argv: readonly string[]): string => {
  const settings = readSettings(program, schema, argv);
  return settings.isOk ? JSON.stringify(settings.value) : settings.error.join('\n');
};

void test('the settings that all programs have keep their names, types, help and validation', () => {
  const settings = commonSettingDefinitions.map(
    (setting) => `--${setting.name} ${setting.type}: ${setting.help}`,
  );
  matchSnapshot(
    'common-settings',
    `${settings.join('\n')}\n\n${schemaLines(v.strictObject(commonSettingsSchema), 'settings')}`,
  );
});

void test('settings are read from file and flags, and invalid ones are reported as in the snapshot', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const withoutListen = ['--node', 'n1', '--area', 'a', '--seeds', '127.0.0.1:2,127.0.0.1:3'];
  const valid = [...withoutListen, '--listen', '127.0.0.1:1'];
  try {
    const writeFile = (name: string, text: string): string => {
      const file = join(folder, name);
      writeFileSync(file, text);
      return file;
    };
    const validSettings = { node: 'n2', area: 'b', listen: '127.0.0.1:4', seeds: [], many: 5 };
    const cases: readonly (readonly [string, readonly string[]])[] = [
      ['flags', valid],
      ['flags with a number and the log level', [...valid, '--many', '7', '--log', 'debug']],
      ['a repeated list', [...valid, '--seeds', '127.0.0.1:9']],
      ['nothing', []],
      ['a flag nobody knows', [...valid, '--odd', '1']],
      ['a word', [...valid, 'word']],
      ['a wrong log level', [...valid, '--log', 'loud']],
      ['a wrong number', [...valid, '--many', 'x']],
      ['four seeds', [...valid, '--seeds', '127.0.0.1:4,127.0.0.1:5']],
      ['a wrong address', [...withoutListen, '--listen', 'here']],
      ['a file', ['--boot', writeFile('right.json', JSON.stringify(validSettings))]],
      [
        'flags before a file',
        ['--boot', writeFile('right.json', JSON.stringify(validSettings)), ...valid],
      ],
      ['a file that is missing', ['--boot', join(folder, 'none.json')]],
      ['a file that is a list', ['--boot', writeFile('list.json', '[]')]],
      [
        'a setting nobody knows',
        ['--boot', writeFile('odd.json', JSON.stringify({ ...validSettings, odd: 1 }))],
      ],
    ];
    const outcomes = cases.map(([name, argv]) => `${name}:\n${outcome(argv)}`);
    matchSnapshot('settings-read', outcomes.join('\n\n').replaceAll(folder, 'FOLDER'));
  } finally {
    rmSync(folder, { recursive: true });
  }
});
