/** Guards against wrong conversions of nginx configurations, and against skipped directives that go unreported. */

import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { noGeneration } from '@switchwheel/types';
import { buildConfiguration, splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { convertNginx } from './convert.js';
import { readNginx } from './parse.js';

const withConfigurationFiles = (
  files: ReadonlyMap<string, string>,
  run: (mainFile: string) => void,
): void => {
  const folder = mkdtempSync(join(tmpdir(), 'nginx-'));
  try {
    for (const [name, text] of files) writeFileSync(join(folder, name), text);
    run(join(folder, 'nginx.conf'));
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

const mainText = `# a comment with server in it
worker_processes 4;
http {
  upstream shop { server 10.0.0.1:80; server 10.0.0.2:80 weight=2; }
  proxy_cache_path /var/cache keys_zone=one:10m;
  server {
    listen 80;
    server_name shop.example www.shop.example;
    include "parts.conf";
    location / { proxy_pass http://shop; proxy_read_timeout 3s; }
    location = /health { proxy_pass http://shop; limit_except GET { deny all; } }
    location ~ \\.php$ { proxy_pass http://shop; }
  }
}
`;
const includedText = `location /images {
  proxy_pass http://shop;
  proxy_cache one;
  proxy_cache_valid 200 10m;
  add_header X-Cache hit;
}
`;

void test('upstreams, servers, locations and cache settings convert to a valid configuration; other directives are listed with file and line', () => {
  withConfigurationFiles(
    new Map([
      ['nginx.conf', mainText],
      ['parts.conf', includedText],
    ]),
    (file) => {
      const directives = readNginx(file);
      assert.ok(directives.isOk);
      const { description, skipped } = convertNginx(directives.value);
      const bundle = runToCompletion(splitIntoChunks(description)).unwrapOrElse((faults) =>
        assert.fail(JSON.stringify(faults)),
      );
      const configuration = runToCompletion(
        buildConfiguration(
          bundle.chunkHashes.map((hash) => bundle.chunks.get(hash) ?? ''),
          noGeneration,
          bundle.hash,
        ),
      ).unwrapOrElse((faults) => assert.fail(JSON.stringify(faults)));
      assert.deepEqual([...configuration.services.keys()], ['shop']);
      const cachedRoutes = [...configuration.routesByName.values()].filter(
        (route) => route.cache !== undefined,
      );
      assert.equal(cachedRoutes.length, 4, 'path and prefix for each of two hosts');
      assert.ok(
        cachedRoutes.every(
          (route) => route.cache?.lifetimeMs === 600_000 && !route.methods.has('POST'),
        ),
      );
      assert.ok([...configuration.routesByName.values()].some((route) => route.timeoutMs === 3000));
      const skippedLines = skipped.map(
        (directive) =>
          `${directive.file.slice(directive.file.lastIndexOf('/') + 1)}:${directive.line} ${directive.name}`,
      );
      for (const line of [
        'nginx.conf:4 server 10.0.0.1:80',
        'nginx.conf:5 proxy_cache_path /var/cache keys_zone=one:10m',
        'nginx.conf:12 location ~ \\.php$',
        'parts.conf:5 add_header X-Cache hit',
      ]) {
        assert.ok(skippedLines.includes(line), `${line} in ${skippedLines.join('; ')}`);
      }
    },
  );
});

void test('unbalanced braces and missing includes are reported with file, line and reason', () => {
  withConfigurationFiles(
    new Map([['nginx.conf', 'http {\n  server {\n    listen 80;\n']]),
    (file) => {
      const directives = readNginx(file);
      assert.ok(directives.isErr);
      assert.deepEqual(
        [directives.error.file, directives.error.line, directives.error.text],
        [file, 4, 'block is not closed; expected "}"'],
      );
    },
  );
  withConfigurationFiles(new Map([['nginx.conf', 'http {\n}\n}\nuser x;\n']]), (file) => {
    const directives = readNginx(file);
    assert.ok(directives.isErr && directives.error.text === 'unexpected "}"');
  });
  withConfigurationFiles(
    new Map([['nginx.conf', 'http {\n\n  include absent.conf;\n}\n']]),
    (file) => {
      const directives = readNginx(file);
      assert.ok(
        directives.isErr &&
          directives.error.line === 3 &&
          directives.error.text.includes('absent.conf'),
      );
    },
  );
});
