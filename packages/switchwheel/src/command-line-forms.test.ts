/** Guards against unintended changes of the command line: flags, output, requests to the registry and exit codes. */

import { join } from 'node:path';
import { test } from 'node:test';
import { toAddress } from '@switchwheel/types';
import { runCommands, snapshotsFor } from '@switchwheel/types/testing';
import type { CommandOptions } from './command/command-result.js';
import { runCommand } from './command/run.js';
import { startStubRegistry } from './stub-registry.test-support.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'switchwheel.js');

void test('the help text and the exit codes for invalid flags match the snapshot', async () => {
  matchSnapshot(
    'command-line',
    await runCommands(script, 'switchwheel', [
      { args: ['--help'] },
      { args: ['status'] },
      { args: ['status', '--odd', '--registry', '127.0.0.1:1'] },
      { args: ['status', '-r', '127.0.0.1:1,wrong'] },
      { args: ['status'], env: { SWITCHWHEEL_REGISTRY: 'there' } },
      { args: ['apply', 'x', '--base', '-1', '-r', '127.0.0.1:1'] },
    ]),
  );
});

void test('each flag appears in the request to the registry as in the snapshot', async () => {
  const registry = await startStubRegistry();
  const env = { SWITCHWHEEL_REGISTRY: registry.address };
  try {
    const outputs = await runCommands(script, 'switchwheel', [
      { args: ['purge', '/a', '--host', 'h', '--tag', 't', '--all', '--id', 'c1'], env },
      { args: ['release', 'clips', 'r2', '--span', '2m', '--id', 'c2', '--json'], env },
      { args: ['voter', 'add', 'r4', '--id', 'c3'], env },
      { args: ['import', join(import.meta.dirname, '..', 'package.json'), '--strict'], env },
    ]);
    const text = outputs.replaceAll(registry.address, 'REGISTRY');
    const folder = join(import.meta.dirname, '..');
    const requests = registry.requests.toSorted().join('\n');
    matchSnapshot(
      'command-flags',
      `${text.replaceAll(`${folder}/`, '')}\n\nasked of the registry:\n${requests}`,
    );
  } finally {
    registry.stop();
  }
});

const optionsFor = (address: string, overrides: Partial<CommandOptions>): CommandOptions => ({
  target: { registries: [toAddress(address)], timeoutMs: 5000 },
  json: false,
  base: undefined,
  force: false,
  id: 'c1',
  host: undefined,
  tags: [],
  all: false,
  strict: false,
  stores: [],
  voters: [],
  waitMs: 0,
  span: '60s',
  ...overrides,
});

const configurationFile = join(import.meta.dirname, '..', 'fixtures', 'description.json');
const commands: readonly (readonly string[])[] = [
  ['check', configurationFile],
  ['apply', configurationFile],
  ['diff', configurationFile],
  ['show'],
  ['status'],
  ['rollouts'],
  ['releases'],
  ['release', 'clips', 'r2'],
  ['purge', '/clips/1'],
  ['call', 'c9'],
  ['found', 'fleet'],
  ['voter', 'remove', 'r1'],
];
const invalidCommands: readonly (readonly string[])[] = [
  ['other'],
  ['check'],
  ['check', 'no-such-file.json'],
  ['import'],
  ['import', 'no-such-file.conf'],
  ['apply'],
  ['apply', 'no-such-file.json'],
  ['diff', 'no-such-file.json'],
  ['release', 'clips'],
  ['purge'],
  ['purge', 'clips'],
  ['call'],
  ['found'],
  ['voter', 'change', 'r1'],
];

const outputOf = async (
  commandLine: readonly string[],
  address: string,
  overrides: Partial<CommandOptions>,
): Promise<string> => {
  const [command = '', ...commandArguments] = commandLine;
  const { exitCode, stdout, stderr } = await runCommand(
    command,
    commandArguments,
    optionsFor(address, overrides),
  );
  return [
    `$ switchwheel ${commandLine.join(' ').replace(configurationFile, 'FILE')}${overrides.json === true ? ' --json' : ''}`,
    `exit code ${exitCode}`,
    ...(stdout === '' ? [] : ['stdout:', stdout]),
    ...(stderr === '' ? [] : ['stderr:', stderr]),
  ].join('\n');
};

/** Masks the random suffix of the name of a bootstrapped fleet. */
const withoutRandomSuffix = (text: string): string =>
  text.replace(/fleet\.[0-9a-f]{8}/, 'fleet.RANDOM');

const outputsOf = async (
  commandLines: readonly (readonly string[])[],
  registry: { readonly address: string; readonly requests: readonly string[] },
  overrides: Partial<CommandOptions> = {},
): Promise<string> => {
  const outputs: string[] = [];
  for (const commandLine of commandLines) {
    const requestsBefore = registry.requests.length;
    const output = await outputOf(commandLine, registry.address, overrides);
    const requests = registry.requests
      .slice(requestsBefore)
      .map((request) => `asked: ${withoutRandomSuffix(request)}`);
    outputs.push([output, ...requests].join('\n'));
  }
  return outputs.join('\n\n').replaceAll(registry.address, 'REGISTRY');
};

void test('the output of each command, as text and as JSON, matches the snapshot', async () => {
  const registry = await startStubRegistry();
  try {
    matchSnapshot('command-output', await outputsOf(commands, registry));
    matchSnapshot('command-output-json', await outputsOf(commands, registry, { json: true }));
    matchSnapshot('command-wrong-use', await outputsOf(invalidCommands, registry));
  } finally {
    registry.stop();
  }
});

void test('apply reports on how many nodes the configuration is in force', async () => {
  const registry = await startStubRegistry();
  try {
    const output = await outputsOf([['apply', configurationFile]], registry, { waitMs: 60_000 });
    matchSnapshot('command-apply-wait', output.replace(/after \d+ ms/, 'after NUMBER ms'));
  } finally {
    registry.stop();
  }
});

void test('a command that the registry rejects prints the reason and exits with code 1', async () => {
  const registry = await startStubRegistry({
    status: 422,
    body: {
      kind: 'invalid',
      text: 'the description is refused whole',
      faults: [{ path: 'routes.0', text: 'no such service' }],
    },
  });
  try {
    const plain = await outputsOf(commands, registry, { base: 4 });
    const json = await outputsOf(commands, registry, { base: 4, json: true });
    matchSnapshot('command-refused', `${plain}\n\n${json}`);
  } finally {
    registry.stop();
  }
});

void test('a command that no registry responds to exits with code 1', async () => {
  const unreachableRegistry = { address: '127.0.0.1:1', requests: [] };
  matchSnapshot('command-unanswered', await outputsOf(commands, unreachableRegistry, { base: 4 }));
});
