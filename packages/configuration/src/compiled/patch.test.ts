/** Guards against a patched configuration that differs from one compiled in full. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { noGeneration } from '@switchwheel/types';
import { splitIntoChunks } from '../document/chunks.js';
import { buildConfiguration, runToCompletion } from './compile.js';
import type { CompiledConfiguration } from './compiled-configuration.js';

interface RouteSpec {
  readonly name: string;
  readonly path: string;
  readonly method: string;
  readonly service: string;
}

const toDocument = (routes: readonly RouteSpec[]): object => ({
  format: 1,
  classes: [
    { name: 'reads', share: 0.5 },
    { name: 'writes', share: 0.4 },
  ],
  services: [{ name: 'shop' }, { name: 'depot' }],
  routes: routes.map(({ name, path, method, service }) => ({
    name,
    ...(path.endsWith('/') ? { prefix: path } : { path }),
    host: `h${path.length % 3}`,
    methods: [method],
    service,
    class: method === 'GET' ? 'reads' : 'writes',
  })),
});

const compile = (
  routes: readonly RouteSpec[],
  before?: CompiledConfiguration,
): ReturnType<typeof buildConfiguration> extends Generator<undefined, infer T> ? T : never => {
  const chunked = runToCompletion(splitIntoChunks(toDocument(routes))).unwrapOrElse((issues) => {
    throw new Error(JSON.stringify(issues));
  });
  return runToCompletion(
    buildConfiguration(
      chunked.chunkHashes.map((hash) => chunked.chunks.get(hash) ?? ''),
      noGeneration,
      chunked.hash,
      before,
    ),
  );
};

const baseRoutes: readonly RouteSpec[] = Array.from({ length: 1500 }, (_, index) => ({
  name: `r${index}`,
  path: index % 3 === 0 ? `/p/${index}/` : `/x/${index}`,
  method: index % 5 === 0 ? 'POST' : 'GET',
  service: index % 2 === 0 ? 'shop' : 'depot',
}));

const anyEdit = fc.record({
  index: fc.integer({ min: 0, max: 1499 }),
  kind: fc.constantFrom('remove', 'move', 'add', 'conflict', 'duplicateName'),
});
const applyEdits = (
  routes: readonly RouteSpec[],
  edits: readonly { readonly index: number; readonly kind: string }[],
): readonly RouteSpec[] =>
  edits.reduce((list, { index, kind }, editIndex) => {
    const edited = list[index % list.length];
    if (edited === undefined) return list;
    switch (kind) {
      case 'remove':
        return list.filter((route) => route !== edited);
      case 'move':
        return list.map((route) =>
          route === edited
            ? { ...route, path: `/moved/${index}/${editIndex}`, service: 'shop' }
            : route,
        );
      case 'add':
        return [
          ...list.slice(0, index),
          {
            name: `new-${index}-${editIndex}`,
            path: `/new/${index}/${editIndex}/`,
            method: 'GET',
            service: 'depot',
          },
          ...list.slice(index),
        ];
      case 'conflict':
        return editIndex % 4 === 0 ? [...list, { ...edited, name: `conflict-${editIndex}` }] : list;
      default:
        return editIndex % 4 === 0
          ? [...list, { ...edited, path: `/duplicate/${editIndex}` }]
          : list;
    }
  }, routes);

void test('a patched configuration equals one compiled in full and has the same issues', () => {
  const first = compile(baseRoutes);
  assert.ok(first.isOk);
  let patchedCount = 0;
  fc.assert(
    fc.property(
      fc.array(fc.array(anyEdit, { minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 3 }),
      (rounds) => {
        let routes = baseRoutes;
        let before = first.value;
        for (const edits of rounds) {
          routes = applyEdits(routes, edits);
          const [full, patched] = [compile(routes), compile(routes, before)];
          if (full.isErr || patched.isErr) {
            assert.deepEqual(
              patched.isErr ? patched.error : undefined,
              full.isErr ? full.error : undefined,
            );
            return;
          }
          const sharedChunks = [...patched.value.routesByChunk.values()].filter((chunk) =>
            [...before.routesByChunk.values()].includes(chunk),
          ).length;
          if (sharedChunks > 0) patchedCount += 1;
          for (const field of [
            'routesByName',
            'exactRoutes',
            'prefixRoutes',
            'classesByService',
            'routeCount',
            'services',
            'classes',
          ] as const)
            assert.deepEqual(patched.value[field], full.value[field], field);
          before = patched.value;
        }
        // Patching does not change the earlier configuration.
        assert.deepEqual(first.value.routesByName.size, baseRoutes.length);
      },
    ),
    { seed: 11, numRuns: 30 },
  );
  assert.ok(patchedCount > 10, `${patchedCount} configurations were patched`);
});
