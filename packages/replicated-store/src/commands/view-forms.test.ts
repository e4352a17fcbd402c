/** Guards against changes of the JSON of operators' views. */

import { test } from 'node:test';
import { jsonShape, snapshotsFor } from '@switchwheel/types/testing';
import {
  toAddress,
  toIncarnation,
  toNodeId,
  toServiceName,
  toTimestamp,
  toZoneName,
} from '@switchwheel/types';
import { applyPut, emptyControlState } from '@switchwheel/configuration';
import { viewRelease, viewState } from './views.js';
import { newStoreState } from '../state/state.js';

const matchSnapshot = snapshotsFor(import.meta.dirname);
const now = toTimestamp(5000);
const hash = 'a'.repeat(64);
const version = { generation: 4, hash };
const offer = { ...version, pieces: [hash] };
const report = {
  ...version,
  phase: 'failed',
  failed: { ...version, text: 'why' },
  health: { name: 'node', healthy: true, text: '', parts: [] },
  ready: true,
};
const node = { role: 'edge', incarnation: 1, online: true, reported: report };
const verdict = { service: 'clips', release: 'r2', state: 'trial', spent: 1, bad: 0, good: 1 };
const rollout = {
  service: 'clips',
  settled: 'r1',
  prior: 'r1',
  target: 'r2',
  phase: 'moving',
  probe: 'done',
  share: 0.5,
  shares: [{ group: 'all', share: 0.5 }],
  spanMs: 1000,
  spentMs: 500,
  movedMs: 0,
  probedMs: 0,
  order: 1,
  serial: 1,
  total: 2,
  spent: 1,
  text: '',
  earlier: [{ target: 'r1', spanMs: 1000, order: 0, ageMs: 9 }],
};
/** Rows in the form in which the table stores them. */
const rows: readonly (readonly [string, object])[] = [
  ['description', { offer, call: 'c1' }],
  ['node/e1', { ...node, assigned: version, desired: version, failed: hash }],
  [
    'rollout/0000000000000004',
    { ...version, status: 'running', wave: 0, waves: 1, policy: {}, troubled: false, rev: 1 },
  ],
  [
    'target/0000000000000004/e1',
    { node: 'e1', generation: 4, wave: 0, status: 'pending', text: '', rev: 1 },
  ],
  ['purge/0000000000000002', { seq: 2, aims: [{ by: 'object', host: 'h', path: '/a' }] }],
  ['verdict/clips/r2', { ...verdict, seen: 9 }],
  ['release/clips', rollout],
];

void test('views of the stored state keep their keys', () => {
  const member = {
    node: toNodeId('s1'),
    role: 'store' as const,
    area: toZoneName('a'),
    address: toAddress('127.0.0.1:1'),
    incarnation: toIncarnation(1),
  };
  const empty = newStoreState(member, [], { seed: 1 });
  const control = rows.reduce(
    (controlState, [key, row]) => applyPut(controlState, { key, data: JSON.stringify(row) }),
    emptyControlState,
  );
  const full = { ...empty, control };
  const names = ['description', 'rollouts', 'nodes', 'purges', 'verdicts', 'releases', 'store'];
  const shapes = [empty, full].flatMap((state) =>
    names.map((name) => `${name}:\n${jsonShape(viewState(state, name, now))}`),
  );
  const release = viewRelease(full, toServiceName('clips'), now);
  matchSnapshot('views', [...shapes, `release/clips: ${JSON.stringify(release)}`].join('\n\n'));
});
