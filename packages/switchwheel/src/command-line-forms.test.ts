import { join } from 'node:path';
import { test } from 'node:test';
import { toAddress } from '@switchwheel/types';
import { runCommands, snapshotsFor } from '@switchwheel/types/testing';
import type { CommandOptions } from './command/command-result.js';
import { runCommand } from './command/run.js';
import { startStubRegistry } from './stub-registry.test-support.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const script = join(import.meta.dirname, '..', 'bin', 'switchwheel.js');

void test('the help of switchwheel and its exit codes for wrong flags stay', async () => {
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

void test('each flag reaches the registry in the place where it did', async () => {
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

const optionsFor = (address: string, more: Partial<CommandOptions>): CommandOptions => ({
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
  ...more,
});

const descriptionFile = join(import.meta.dirname, '..', 'fixtures', 'description.json');
const commands: readonly (readonly string[])[] = [
  ['check', descriptionFile],
  ['apply', descriptionFile],
  ['diff', descriptionFile],
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
const wrongUses: readonly (readonly string[])[] = [
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
  words: readonly string[],
  address: string,
  more: Partial<CommandOptions>,
): Promise<string> => {
  const [command = '', ...rest] = words;
  const { exitCode, stdout, stderr } = await runCommand(command, rest, optionsFor(address, more));
  return [
    `$ switchwheel ${words.join(' ').replace(descriptionFile, 'FILE')}${more.json === true ? ' --json' : ''}`,
    `exit code ${exitCode}`,
    ...(stdout === '' ? [] : ['stdout:', stdout]),
    ...(stderr === '' ? [] : ['stderr:', stderr]),
  ].join('\n');
};

/** The random part of the name under which a fleet is founded. */
const withoutRandomPart = (text: string): string =>
  text.replace(/fleet\.[0-9a-f]{8}/, 'fleet.RANDOM');

const outputsOf = async (
  lines: readonly (readonly string[])[],
  registry: { readonly address: string; readonly requests: readonly string[] },
  more: Partial<CommandOptions> = {},
): Promise<string> => {
  const outputs: string[] = [];
  for (const words of lines) {
    const from = registry.requests.length;
    const output = await outputOf(words, registry.address, more);
    const asked = registry.requests.slice(from).map((one) => `asked: ${withoutRandomPart(one)}`);
    outputs.push([output, ...asked].join('\n'));
  }
  return outputs.join('\n\n').replaceAll(registry.address, 'REGISTRY');
};

void test('the commands print what they did, for people and as JSON', async () => {
  const registry = await startStubRegistry();
  try {
    matchSnapshot('command-output', await outputsOf(commands, registry));
    matchSnapshot('command-output-json', await outputsOf(commands, registry, { json: true }));
    matchSnapshot('command-wrong-use', await outputsOf(wrongUses, registry));
  } finally {
    registry.stop();
  }
});

void test('apply tells where the description is in force', async () => {
  const registry = await startStubRegistry();
  try {
    const output = await outputsOf([['apply', descriptionFile]], registry, { waitMs: 60_000 });
    matchSnapshot('command-apply-wait', output.replace(/after \d+ ms/, 'after NUMBER ms'));
  } finally {
    registry.stop();
  }
});

void test('refusals of a registry are printed with exit code 1', async () => {
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

void test('where no registry answers, exit code 1 says so', async () => {
  const nobody = { address: '127.0.0.1:1', requests: [] };
  matchSnapshot('command-unanswered', await outputsOf(commands, nobody, { base: 4 }));
});
