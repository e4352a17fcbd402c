/** Reads the settings of a program from flags and a JSON file; flags override the file. */

import { readFileSync } from 'node:fs';
import meow from 'meow';
import * as v from 'valibot';
import { type Result, err, ok } from 'true-myth/result';
import type { ProgramDefinition, SettingDefinition } from './settings-definition.js';

const programVersion = '0.1.0';
const invalidSettingsExitCode = 2;

/** Flag for the path of the settings file; not a setting itself. */
const fileFlag: SettingDefinition = {
  name: 'boot',
  type: 'text',
  help: 'JSON file with these settings; flags override it',
};

type RawSettings = ReadonlyMap<string, unknown>;

const isObject = (raw: unknown): raw is object =>
  typeof raw === 'object' && raw !== null && !Array.isArray(raw);

const readSettingsFile = (file: string): Result<RawSettings, string> => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch {
    return err(`boot: the file ${file} can't be read`);
  }
  try {
    const raw: unknown = JSON.parse(text);
    return isObject(raw)
      ? ok(new Map<string, unknown>(Object.entries(raw)))
      : err(`boot: ${file} does not hold a JSON object`);
  } catch (error) {
    return err(
      `boot: ${file} is not JSON: ${error instanceof Error ? error.message : 'unknown error'}`,
    );
  }
};

const helpText = (program: ProgramDefinition): string => {
  const rows = [...program.settings, fileFlag].map(
    (setting) => `    --${setting.name.padEnd(10)} ${setting.help}`,
  );
  return `
  Usage
    $ ${program.name} [--boot FILE] [flags]

  Settings
${rows.join('\n')}

  Exit codes
    0  stopped on request    1  internal error    2  invalid settings
`;
};

const flagValue = (setting: SettingDefinition, raw: unknown): unknown => {
  if (setting.type === 'list' && Array.isArray(raw))
    return raw
      .flatMap((item) => String(item).split(','))
      .map((item) => item.trim())
      .filter((item) => item !== '');
  if (setting.type === 'number') return raw === '' ? raw : Number(raw);
  return raw;
};

/** Parsed command line: flags by name, and positional arguments. */
interface CommandLine {
  readonly flags: RawSettings;
  readonly positionals: readonly string[];
}

/** Parses a command line; `--help` and `--version` print their text and exit the process. */
const parseCommandLine = (program: ProgramDefinition, argv: readonly string[]): CommandLine => {
  const flags = Object.fromEntries(
    [...program.settings, fileFlag].map((setting) => [
      setting.name,
      setting.type === 'list'
        ? { type: 'string' as const, isMultiple: true as const }
        : { type: 'string' as const },
    ]),
  );
  const parsed = meow(helpText(program), {
    importMeta: import.meta,
    argv: [...argv],
    flags,
    description: program.description,
    version: programVersion,
  });
  return {
    flags: new Map<string, unknown>(Object.entries(parsed.flags)),
    positionals: parsed.input,
  };
};

const commandLineErrors = (
  program: ProgramDefinition,
  { flags, positionals }: CommandLine,
): readonly string[] => {
  const knownNames = new Set([...program.settings, fileFlag].map((setting) => setting.name));
  return [
    ...positionals.map((argument) => `${argument}: not a flag`),
    ...[...flags.keys()]
      .filter((name) => !knownNames.has(name))
      .map((name) => `${name}: no such setting`),
  ];
};

/** Returns the settings that are given as flags. */
const settingsFromFlags = (program: ProgramDefinition, flags: RawSettings): RawSettings => {
  const settings = new Map<string, unknown>();
  for (const setting of program.settings) {
    const raw = flags.get(setting.name);
    if (raw === undefined || (Array.isArray(raw) && raw.length === 0)) continue;
    settings.set(setting.name, flagValue(setting, raw));
  }
  return settings;
};

/** Definition of the required setting that an issue reports as missing; undefined for any other issue. */
const missingSetting = (
  program: ProgramDefinition,
  issue: v.BaseIssue<unknown>,
): SettingDefinition | undefined =>
  issue.type === 'strict_object' && issue.expected !== 'never'
    ? program.settings.find(({ name }) => name === v.getDotPath(issue))
    : undefined;

const issueLine = (program: ProgramDefinition, issue: v.BaseIssue<unknown>): string => {
  const path = v.getDotPath(issue) ?? 'settings';
  if (issue.type === 'strict_object' && issue.expected === 'never')
    return `${path}: no such setting`;
  const missing = missingSetting(program, issue);
  return missing === undefined
    ? `${path}: ${issue.message}`
    : `${path}: required setting is missing; give it as --${path} or in the --boot file: ${missing.help}`;
};

/**
 * Reads settings from the file and the flags. Fails with one line per error; if a required setting is
 * missing, a last line points to `--help`.
 */
export const readSettings = <T>(
  program: ProgramDefinition,
  schema: v.GenericSchema<unknown, T>,
  argv: readonly string[],
): Result<T, readonly string[]> => {
  const commandLine = parseCommandLine(program, argv);
  const fileName = commandLine.flags.get(fileFlag.name);
  const file =
    typeof fileName === 'string'
      ? readSettingsFile(fileName)
      : ok<RawSettings, string>(new Map<string, unknown>());
  const errors = [...commandLineErrors(program, commandLine), ...(file.isErr ? [file.error] : [])];
  const settings = new Map([
    ...(file.isOk ? file.value : []),
    ...settingsFromFlags(program, commandLine.flags),
  ]);
  const parsed = v.safeParse(schema, Object.fromEntries(settings));
  if (parsed.success && errors.length === 0) return ok(parsed.output);
  const issues = parsed.issues ?? [];
  const lines = [...errors, ...issues.map((issue) => issueLine(program, issue))];
  const isSettingMissing = issues.some((issue) => missingSetting(program, issue) !== undefined);
  return err([
    ...new Set(lines),
    ...(isSettingMissing ? [`run ${program.name} --help for all settings`] : []),
  ]);
};

/** Reads settings; on errors prints one line for each to standard error and exits with code 2. */
export const readSettingsOrExit = <T>(
  program: ProgramDefinition,
  schema: v.GenericSchema<unknown, T>,
): T => {
  const settings = readSettings(program, schema, process.argv.slice(2));
  process.title = program.name;
  if (settings.isOk) return settings.value;
  for (const line of settings.error) process.stderr.write(`${program.name}: ${line}\n`);
  process.exit(invalidSettingsExitCode);
};
