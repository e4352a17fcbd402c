/** Holds the settings that all programs share, and what is printed about wrong ones, word for word. */

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

void test('the settings that all programs share keep their names, types and checks', () => {
  const settings = commonSettingDefinitions.map(
    (setting) => `--${setting.name} ${setting.type}: ${setting.help}`,
  );
  matchSnapshot(
    'common-settings',
    `${settings.join('\n')}\n\n${schemaLines(v.strictObject(commonSettingsSchema), 'settings')}`,
  );
});

void test('settings from file and flags are read, and wrong ones reported, as before', () => {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const place = ['--node', 'n1', '--area', 'a', '--seeds', '127.0.0.1:2,127.0.0.1:3'];
  const right = [...place, '--listen', '127.0.0.1:1'];
  try {
    const write = (name: string, text: string): string => {
      const file = join(folder, name);
      writeFileSync(file, text);
      return file;
    };
    const whole = { node: 'n2', area: 'b', listen: '127.0.0.1:4', seeds: [], many: 5 };
    const cases: readonly (readonly [string, readonly string[]])[] = [
      ['flags', right],
      ['flags with a number and the log level', [...right, '--many', '7', '--log', 'debug']],
      ['a repeated list', [...right, '--seeds', '127.0.0.1:9']],
      ['nothing', []],
      ['a flag nobody knows', [...right, '--odd', '1']],
      ['a word', [...right, 'word']],
      ['a wrong log level', [...right, '--log', 'loud']],
      ['a wrong number', [...right, '--many', 'x']],
      ['four seeds', [...right, '--seeds', '127.0.0.1:4,127.0.0.1:5']],
      ['a wrong address', [...place, '--listen', 'here']],
      ['a file', ['--boot', write('right.json', JSON.stringify(whole))]],
      ['flags before a file', ['--boot', write('right.json', JSON.stringify(whole)), ...right]],
      ['a file that is missing', ['--boot', join(folder, 'none.json')]],
      ['a file that is a list', ['--boot', write('list.json', '[]')]],
      [
        'a setting nobody knows',
        ['--boot', write('odd.json', JSON.stringify({ ...whole, odd: 1 }))],
      ],
    ];
    const outcomes = cases.map(([name, argv]) => `${name}:\n${outcome(argv)}`);
    matchSnapshot('settings-read', outcomes.join('\n\n').replaceAll(folder, 'FOLDER'));
  } finally {
    rmSync(folder, { recursive: true });
  }
});
