import { readFileSync } from 'node:fs';
import meow from 'meow';
import * as v from 'valibot';
import { type Result, err, ok } from 'true-myth/result';
import * as g from '@switchwheel/types';

/** What every program of the fleet needs to know of its place. */
export const commonSettingsSchema = {
  node: g.nodeId,
  area: g.zoneName,
  listen: g.address,
  seeds: v.pipe(v.array(g.address), v.maxLength(3, 'three seeds at most')),
  log: v.optional(
    v.picklist(['debug', 'info', 'warn', 'error'], 'one of debug, info, warn, error'),
    'info',
  ),
};

/** How a setting is given on the command line. */
export interface SettingDefinition {
  readonly name: string;
  readonly type: 'text' | 'list' | 'number';
  readonly help: string;
}

export const commonSettingDefinitions: readonly SettingDefinition[] = [
  { name: 'node', type: 'text', help: 'the name of this node, its own in the fleet' },
  { name: 'area', type: 'text', help: 'the area this machine stands in' },
  { name: 'listen', type: 'text', help: 'IP:port for the other processes' },
  {
    name: 'seeds',
    type: 'list',
    help: 'IP:port of up to three registries, to find the fleet; repeat the flag or part by commas',
  },
  { name: 'log', type: 'text', help: 'debug, info, warn or error (info)' },
];

/** A program, as its help tells it. */
export interface ProgramDefinition {
  readonly name: string;
  readonly description: string;
  readonly settings: readonly SettingDefinition[];
}

const isObject = (raw: unknown): raw is object =>
  typeof raw === 'object' && raw !== null && !Array.isArray(raw);

const fromFile = (file: string): Result<ReadonlyMap<string, unknown>, string> => {
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
  } catch (problem) {
    return err(
      `boot: ${file} is not JSON: ${problem instanceof Error ? problem.message : 'unreadable'}`,
    );
  }
};

const helpOf = (program: ProgramDefinition): string => {
  const rows = [
    ...program.settings,
    { name: 'boot', type: 'text', help: 'a JSON file with these settings; flags go before it' },
  ].map((one) => `    --${one.name.padEnd(10)} ${one.help}`);
  return `
  Usage
    $ ${program.name} [--boot FILE] [flags]

  Settings
${rows.join('\n')}

  Exit codes
    0  stopped as asked    1  broke down    2  settings are wrong
`;
};

const flagValue = (setting: SettingDefinition, raw: unknown): unknown => {
  if (setting.type === 'list' && Array.isArray(raw))
    return raw
      .flatMap((one) => String(one).split(','))
      .map((one) => one.trim())
      .filter((one) => one !== '');
  if (setting.type === 'number') return raw === '' ? raw : Number(raw);
  return raw;
};

/** Reads settings from file and flags; every fault is told, each in one line. */
export const readSettings = <T>(
  program: ProgramDefinition,
  schema: v.GenericSchema<unknown, T>,
  argv: readonly string[],
): Result<T, readonly string[]> => {
  const flags = Object.fromEntries(
    [...program.settings, { name: 'boot', type: 'text', help: '' } as const].map((one) => [
      one.name,
      one.type === 'list'
        ? { type: 'string' as const, isMultiple: true as const }
        : { type: 'string' as const },
    ]),
  );
  const read = meow(helpOf(program), {
    importMeta: import.meta,
    argv: [...argv],
    flags,
    description: program.description,
    version: '0.1.0',
  });
  const given = new Map<string, unknown>(Object.entries(read.flags));
  const faults: string[] = read.input.map((one) => `${one}: not a flag`);
  for (const name of given.keys()) {
    if (name !== 'boot' && !program.settings.some((one) => one.name === name))
      faults.push(`${name}: no such setting`);
  }
  const merged = new Map<string, unknown>();
  const file = given.get('boot');
  if (typeof file === 'string') {
    const held = fromFile(file);
    if (held.isErr) faults.push(held.error);
    else for (const [name, value] of held.value) merged.set(name, value);
  }
  for (const setting of program.settings) {
    const raw = given.get(setting.name);
    if (raw === undefined || (Array.isArray(raw) && raw.length === 0)) continue;
    merged.set(setting.name, flagValue(setting, raw));
  }
  const checked = v.safeParse(schema, Object.fromEntries(merged));
  if (checked.success && faults.length === 0) return ok(checked.output);
  const issues = checked.success
    ? []
    : checked.issues.map((issue) => `${v.getDotPath(issue) ?? 'settings'}: ${issue.message}`);
  return err([...new Set([...faults, ...issues])]);
};

/** Reads settings or ends the program with exit code 2. */
export const readSettingsOrExit = <T>(
  program: ProgramDefinition,
  schema: v.GenericSchema<unknown, T>,
): T => {
  const read = readSettings(program, schema, process.argv.slice(2));
  process.title = program.name;
  if (read.isOk) return read.value;
  for (const line of read.error) process.stderr.write(`${program.name}: ${line}\n`);
  process.exit(2);
};
