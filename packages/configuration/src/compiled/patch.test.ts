import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { noGeneration } from '@switchwheel/types';
import { splitIntoChunks } from '../document/chunks.js';
import { buildConfiguration, runToCompletion } from './compile.js';
import type { CompiledConfiguration } from './compiled-configuration.js';

interface Row {
  readonly name: string;
  readonly path: string;
  readonly method: string;
  readonly service: string;
}

const describe = (rows: readonly Row[]): object => ({
  format: 1,
  classes: [
    { name: 'one', share: 0.5 },
    { name: 'two', share: 0.4 },
  ],
  services: [{ name: 'shop' }, { name: 'depot' }],
  routes: rows.map(({ name, path, method, service }) => ({
    name,
    ...(path.endsWith('/') ? { prefix: path } : { path }),
    host: `h${path.length % 3}`,
    methods: [method],
    service,
    class: method === 'GET' ? 'one' : 'two',
  })),
});

const made = (
  rows: readonly Row[],
  before?: CompiledConfiguration,
): ReturnType<typeof buildConfiguration> extends Generator<undefined, infer T> ? T : never => {
  const bundle = runToCompletion(splitIntoChunks(describe(rows))).unwrapOrElse((faults) => {
    throw new Error(JSON.stringify(faults));
  });
  return runToCompletion(
    buildConfiguration(
      bundle.chunkHashes.map((hash) => bundle.chunks.get(hash) ?? ''),
      noGeneration,
      bundle.hash,
      before,
    ),
  );
};

const base: readonly Row[] = Array.from({ length: 1500 }, (_, at) => ({
  name: `r${at}`,
  path: at % 3 === 0 ? `/p/${at}/` : `/x/${at}`,
  method: at % 5 === 0 ? 'POST' : 'GET',
  service: at % 2 === 0 ? 'shop' : 'depot',
}));

const edit = fc.record({
  at: fc.integer({ min: 0, max: 1499 }),
  what: fc.constantFrom('drop', 'move', 'add', 'clash', 'twice'),
});
const edited = (
  rows: readonly Row[],
  edits: readonly { readonly at: number; readonly what: string }[],
): readonly Row[] =>
  edits.reduce((list, { at, what }, turn) => {
    const one = list[at % list.length];
    if (one === undefined) return list;
    switch (what) {
      case 'drop':
        return list.filter((row) => row !== one);
      case 'move':
        return list.map((row) =>
          row === one ? { ...row, path: `/moved/${at}/${turn}`, service: 'shop' } : row,
        );
      case 'add':
        return [
          ...list.slice(0, at),
          {
            name: `new-${at}-${turn}`,
            path: `/new/${at}/${turn}/`,
            method: 'GET',
            service: 'depot',
          },
          ...list.slice(at),
        ];
      case 'clash':
        return turn % 4 === 0 ? [...list, { ...one, name: `clash-${turn}` }] : list;
      default:
        return turn % 4 === 0 ? [...list, { ...one, path: `/twice/${turn}` }] : list;
    }
  }, rows);

void test('a configuration compiled on top of another equals the one compiled anew, and has the same issues', () => {
  const first = made(base);
  assert.ok(first.isOk);
  let patched = 0;
  fc.assert(
    fc.property(
      fc.array(fc.array(edit, { minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 3 }),
      (rounds) => {
        let rows = base;
        let before = first.value;
        for (const edits of rounds) {
          rows = edited(rows, edits);
          const [alone, onTop] = [made(rows), made(rows, before)];
          if (alone.isErr || onTop.isErr) {
            assert.deepEqual(
              onTop.isErr ? onTop.error : undefined,
              alone.isErr ? alone.error : undefined,
            );
            return;
          }
          const shared = [...onTop.value.routesByChunk.values()].filter((one) =>
            [...before.routesByChunk.values()].includes(one),
          ).length;
          if (shared > 0) patched += 1;
          for (const part of [
            'routesByName',
            'exactRoutes',
            'prefixRoutes',
            'classesByService',
            'routeCount',
            'services',
            'classes',
          ] as const)
            assert.deepEqual(onTop.value[part], alone.value[part], part);
          before = onTop.value;
        }
        // The configuration that was built upon is unchanged.
        assert.deepEqual(first.value.routesByName.size, base.length);
      },
    ),
    { seed: 11, numRuns: 30 },
  );
  assert.ok(patched > 10, `${patched} configurations were compiled on top of others`);
});
