/**
 * Guards against changes of the JSON bodies of commands and replies between registries and the primary, which the
 * frame schemas do not cover.
 */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  toAddress,
  toCommandId,
  toEpoch,
  toFleetId,
  toIncarnation,
  toNodeId,
  toSeq,
  toTimestamp,
  toZoneName,
} from '@switchwheel/types';
import type { FrameOf, Peer } from '@switchwheel/transport';
import { configurationHash, contentHash } from '@switchwheel/configuration';
import { onOperatorCommand } from './operator-commands.js';
import { storeTransition } from '../machine.js';
import type { StoreEffect } from '../state/events.js';
import { type StoreState, newStoreState } from '../state/state.js';

type Verb = FrameOf<'call'>['verb'];
type CommandResult = ReturnType<typeof onOperatorCommand>;

const now = toTimestamp(1000);
const registry: Peer = {
  node: toNodeId('registry-1'),
  address: toAddress('127.0.0.1:7000'),
  incarnation: toIncarnation(1),
};
const ownNode = toNodeId('store-1');
const chunk = '{"format":1}';
const chunkHash = contentHash(chunk);
const configurationHashText = configurationHash([chunkHash]);

/** Primary with an empty configuration, and one chunk in memory. */
const primaryStore = (): StoreState => {
  const address = toAddress('127.0.0.1:7010');
  const metadata = {
    fleet: toFleetId('fleet.1'),
    epoch: toEpoch(1),
    inSyncSet: [ownNode],
    stores: [{ node: ownNode, address }],
    electorate: {
      serial: toSeq(4),
      members: [{ node: registry.node, address: registry.address }],
    },
  };
  const { state } = storeTransition(
    newStoreState(
      {
        node: ownNode,
        role: 'store',
        area: toZoneName('north'),
        address,
        incarnation: toIncarnation(1),
      },
      [],
      { seed: 1 },
    ),
    {
      kind: 'diskRead',
      now,
      contents: {
        status: 'complete',
        metadata,
        logPosition: { epoch: toEpoch(1), seq: toSeq(1) },
        entries: [
          {
            key: 'purge/0000000000000003',
            stamp: { epoch: toEpoch(1), seq: toSeq(1) },
            data: '{"seq":3,"aims":[{"by":"all"}]}',
          },
        ],
      },
    },
  );
  return {
    ...state,
    isServing: true,
    heldChunks: new Map([[chunkHash, chunk]]),
    candidate: {
      ...state.candidate,
      phase: {
        phase: 'holdingLease',
        leaseEndsAt: toTimestamp(9000),
        renewalRequestedAt: now,
        wonAt: now,
        epoch: toEpoch(1),
        votes: new Map(),
      },
    },
  };
};

const sendCommand = (verb: Verb, body: string): CommandResult =>
  onOperatorCommand(
    primaryStore(),
    registry,
    { kind: 'call', id: toCommandId('call-1'), verb, body },
    now,
  );

/** Status and body of each reply among the effects. */
const repliesIn = (effects: readonly StoreEffect[]): readonly (readonly [number, unknown])[] =>
  effects.flatMap((effect) =>
    effect.kind === 'send' && effect.frame.kind === 'called'
      ? [[effect.frame.status, JSON.parse(effect.frame.body)] as const]
      : [],
  );

const repliesTo = (verb: Verb, body: string): readonly (readonly [number, unknown])[] =>
  repliesIn(sendCommand(verb, body).effects);

const refusal = (text: string): readonly (readonly [number, unknown])[] => [
  [422, { kind: 'invalid', id: 'call-1', text }],
];

void test('an apply command names the content, the order of its chunks and its generation', () => {
  const body = `{"hash":"${configurationHashText}","order":["${chunkHash}"],"number":7}`;
  const { state, effects } = sendCommand('apply', body);
  assert.deepEqual(repliesIn(effects), []);
  const [command] = state.compiling.get(configurationHashText) ?? [];
  assert.ok(command !== undefined);
  assert.deepEqual(
    [command.hash, command.chunkHashes, command.requestedGeneration],
    [configurationHashText, [chunkHash], 7],
  );
});

void test('an apply command may omit the generation', () => {
  const body = `{"hash":"${configurationHashText}","order":["${chunkHash}"]}`;
  const [command] = sendCommand('apply', body).state.compiling.get(configurationHashText) ?? [];
  assert.ok(command !== undefined);
  assert.equal(command.requestedGeneration, undefined);
});

void test('a purge command is a list of objects, tags or everything', () => {
  const body =
    '[{"by":"object","host":"cdn.example","path":"/a"},{"by":"tag","tag":"album-7"},{"by":"all"}]';
  const [command] = sendCommand('purge', body).state.commandQueue;
  assert.ok(command?.kind === 'purge');
  assert.deepEqual(command.targets, JSON.parse(body));
});

void test('an electorate command adds or removes one member', () => {
  const queued = sendCommand(
    'electorate',
    '{"add":{"node":"registry-2","address":"127.0.0.2:7000"}}',
  ).state.commandQueue[0];
  assert.ok(queued?.kind === 'changeElectorate');
  assert.deepEqual(queued.electorate, {
    serial: 5,
    members: [
      { node: 'registry-1', address: '127.0.0.1:7000' },
      { node: 'registry-2', address: '127.0.0.2:7000' },
    ],
  });
  assert.deepEqual(
    repliesTo('electorate', '{"remove":"registry-1"}'),
    refusal('that would not change the electorate by one'),
    'the last member stays',
  );
});

void test('a rollout request names the service, the release and its duration', () => {
  const [command] = sendCommand('release', '{"service":"shop","target":"r2","spanMs":16000}').state
    .commandQueue;
  assert.ok(command?.kind === 'requestRollout');
  assert.deepEqual([command.service, command.target, command.spanMs], ['shop', 'r2', 16_000]);
});

const incompleteBodies: readonly (readonly [Verb, string, string])[] = [
  ['apply', `{"order":["${chunkHash}"]}`, 'not a description in pieces'],
  ['apply', `{"hash":"${configurationHashText}"}`, 'not a description in pieces'],
  ['purge', '[]', 'a purge names 1 to 10000 objects or tags'],
  ['purge', '[{"by":"tag"}]', 'a purge names 1 to 10000 objects or tags'],
  [
    'release',
    '{"target":"r2","spanMs":16000}',
    'an order names a service, a release, and a span of 1 s to a day',
  ],
  [
    'release',
    '{"service":"shop","spanMs":16000}',
    'an order names a service, a release, and a span of 1 s to a day',
  ],
  [
    'release',
    '{"service":"shop","target":"r2"}',
    'an order names a service, a release, and a span of 1 s to a day',
  ],
];
for (const [number, [verb, body, text]] of incompleteBodies.entries())
  void test(`the command ${verb} is refused if a part of its body is missing (${number + 1})`, () => {
    assert.deepEqual(repliesTo(verb, body), refusal(text));
  });

const viewHeader = { store: 'store-1', epoch: 1, stamp: { epoch: 1, seq: 1 }, generation: 0 };

void test('a view of the configuration contains the manifest that the registry collects chunks by', () => {
  assert.deepEqual(repliesTo('view', 'description'), [[200, { ...viewHeader, offer: null }]]);
});

void test('each view of the stored state has its records under its own key', () => {
  const recordsByView = new Map<string, object>([
    ['rollouts', { rollouts: [] }],
    ['nodes', { nodes: [] }],
    ['purges', { purges: [{ seq: 3, aims: [{ by: 'all' }] }] }],
    ['verdicts', { verdicts: [] }],
    ['releases', { releases: [] }],
  ]);
  for (const [name, rows] of recordsByView)
    assert.deepEqual(repliesTo('view', name), [[200, { ...viewHeader, ...rows }]], name);
});

void test('the reply to a query for an unknown command states that sending it again is safe', () => {
  assert.deepEqual(repliesTo('ask', 'call-0'), [
    [
      404,
      {
        kind: 'absent',
        text: 'no write with the id call-0 took effect; sending it again with this id is safe',
      },
    ],
  ]);
});
