/**
 * Holds the JSON bodies of calls as registries send them to the primary, and of the answers that registries read:
 * they are texts within frames, so the schemas of the frames say nothing of them.
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
type CallStep = ReturnType<typeof onOperatorCommand>;

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

/** A primary with an empty configuration, and one piece of content at hand. */
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

const callWith = (verb: Verb, body: string): CallStep =>
  onOperatorCommand(
    primaryStore(),
    registry,
    { kind: 'call', id: toCommandId('call-1'), verb, body },
    now,
  );

/** The answers among effects: status and body. */
const answersIn = (effects: readonly StoreEffect[]): readonly (readonly [number, unknown])[] =>
  effects.flatMap((effect) =>
    effect.kind === 'send' && effect.frame.kind === 'called'
      ? [[effect.frame.status, JSON.parse(effect.frame.body)] as const]
      : [],
  );

const answerTo = (verb: Verb, body: string): readonly (readonly [number, unknown])[] =>
  answersIn(callWith(verb, body).effects);

const refusal = (text: string): readonly (readonly [number, unknown])[] => [
  [422, { kind: 'invalid', id: 'call-1', text }],
];

void test('an apply names the content, the order of its chunks and its number', () => {
  const body = `{"hash":"${configurationHashText}","order":["${chunkHash}"],"number":7}`;
  const { state, effects } = callWith('apply', body);
  assert.deepEqual(answersIn(effects), []);
  const [command] = state.compiling.get(configurationHashText) ?? [];
  assert.ok(command !== undefined);
  assert.deepEqual(
    [command.hash, command.chunkHashes, command.requestedGeneration],
    [configurationHashText, [chunkHash], 7],
  );
});

void test('an apply may leave its number out', () => {
  const body = `{"hash":"${configurationHashText}","order":["${chunkHash}"]}`;
  const [command] = callWith('apply', body).state.compiling.get(configurationHashText) ?? [];
  assert.ok(command !== undefined);
  assert.equal(command.requestedGeneration, undefined);
});

void test('a purge is a list of objects, tags or everything', () => {
  const body =
    '[{"by":"object","host":"cdn.example","path":"/a"},{"by":"tag","tag":"album-7"},{"by":"all"}]';
  const [command] = callWith('purge', body).state.commandQueue;
  assert.ok(command?.kind === 'purge');
  assert.deepEqual(command.targets, JSON.parse(body));
});

void test('a change of the electorate adds or removes one member', () => {
  const added = callWith('electorate', '{"add":{"node":"registry-2","address":"127.0.0.2:7000"}}')
    .state.commandQueue[0];
  assert.ok(added?.kind === 'changeElectorate');
  assert.deepEqual(added.electorate, {
    serial: 5,
    members: [
      { node: 'registry-1', address: '127.0.0.1:7000' },
      { node: 'registry-2', address: '127.0.0.2:7000' },
    ],
  });
  assert.deepEqual(
    answerTo('electorate', '{"remove":"registry-1"}'),
    refusal('that would not change the electorate by one'),
    'the last member stays',
  );
});

void test('an order of a release names the service, the release and its span', () => {
  const [command] = callWith('release', '{"service":"shop","target":"r2","spanMs":16000}').state
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
  void test(`the call ${verb} is refused without a part of its body (${number + 1})`, () => {
    assert.deepEqual(answerTo(verb, body), refusal(text));
  });

const about = { store: 'store-1', epoch: 1, stamp: { epoch: 1, seq: 1 }, generation: 0 };

void test('a view of the configuration has the offer that the registry collects', () => {
  assert.deepEqual(answerTo('view', 'description'), [[200, { ...about, offer: null }]]);
});

void test('views of the stored state name each family', () => {
  const viewed = new Map<string, object>([
    ['rollouts', { rollouts: [] }],
    ['nodes', { nodes: [] }],
    ['purges', { purges: [{ seq: 3, aims: [{ by: 'all' }] }] }],
    ['verdicts', { verdicts: [] }],
    ['releases', { releases: [] }],
  ]);
  for (const [name, rows] of viewed)
    assert.deepEqual(answerTo('view', name), [[200, { ...about, ...rows }]], name);
});

void test('a call that asks for an unknown command is told that sending it again is safe', () => {
  assert.deepEqual(answerTo('ask', 'call-0'), [
    [
      404,
      {
        kind: 'absent',
        text: 'no write with the id call-0 took effect; sending it again with this id is safe',
      },
    ],
  ]);
});
