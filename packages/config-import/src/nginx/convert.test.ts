import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { noGeneration } from '@switchwheel/types';
import { buildConfiguration, splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { convertNginx } from './convert.js';
import { readNginx } from './parse.js';

const inFolder = (files: ReadonlyMap<string, string>, work: (main: string) => void): void => {
  const folder = mkdtempSync(join(tmpdir(), 'nginx-'));
  try {
    for (const [name, text] of files) writeFileSync(join(folder, name), text);
    work(join(folder, 'nginx.conf'));
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

const main = `# a comment with server in it
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
const part = `location /images {
  proxy_pass http://shop;
  proxy_cache one;
  proxy_cache_valid 200 10m;
  add_header X-Cache hit;
}
`;

void test('upstreams, servers, locations and cache settings become a description that passes the check; the rest is listed with lines', () => {
  inFolder(
    new Map([
      ['nginx.conf', main],
      ['parts.conf', part],
    ]),
    (file) => {
      const read = readNginx(file);
      assert.ok(read.isOk);
      const { description, skipped } = convertNginx(read.value);
      const bundle = runToCompletion(splitIntoChunks(description)).unwrapOrElse((faults) =>
        assert.fail(JSON.stringify(faults)),
      );
      const table = runToCompletion(
        buildConfiguration(
          bundle.chunkHashes.map((hash) => bundle.chunks.get(hash) ?? ''),
          noGeneration,
          bundle.hash,
        ),
      ).unwrapOrElse((faults) => assert.fail(JSON.stringify(faults)));
      assert.deepEqual([...table.services.keys()], ['shop']);
      const kept = [...table.routesByName.values()].filter((one) => one.cache !== undefined);
      assert.equal(kept.length, 4, 'two hosts, path and prefix');
      assert.ok(kept.every((one) => one.cache?.lifetimeMs === 600_000 && !one.methods.has('POST')));
      assert.ok([...table.routesByName.values()].some((one) => one.timeoutMs === 3000));
      const told = skipped.map(
        (one) => `${one.file.slice(one.file.lastIndexOf('/') + 1)}:${one.line} ${one.name}`,
      );
      for (const line of [
        'nginx.conf:4 server 10.0.0.1:80',
        'nginx.conf:5 proxy_cache_path /var/cache keys_zone=one:10m',
        'nginx.conf:12 location ~ \\.php$',
        'parts.conf:5 add_header X-Cache hit',
      ]) {
        assert.ok(told.includes(line), `${line} in ${told.join('; ')}`);
      }
    },
  );
});

void test('broken input and missing includes are told with file, line and reason', () => {
  inFolder(new Map([['nginx.conf', 'http {\n  server {\n    listen 80;\n']]), (file) => {
    const read = readNginx(file);
    assert.ok(read.isErr);
    assert.deepEqual(
      [read.error.file, read.error.line, read.error.text],
      [file, 4, 'a block is not closed'],
    );
  });
  inFolder(new Map([['nginx.conf', 'http {\n}\n}\nuser x;\n']]), (file) => {
    const read = readNginx(file);
    assert.ok(read.isErr && read.error.text === 'a closing brace too many');
  });
  inFolder(new Map([['nginx.conf', 'http {\n\n  include absent.conf;\n}\n']]), (file) => {
    const read = readNginx(file);
    assert.ok(read.isErr && read.error.line === 3 && read.error.text.includes('absent.conf'));
  });
});
