/** Guards against lost or damaged rows, crashes on a damaged file or a full disk, and unbounded growth of the file. */

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, readdirSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Disk, type StoredRow } from './disk.js';

const inTemporaryFolder = async (run: (folder: string) => Promise<void>): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'disk-'));
  try {
    await run(folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

const keysOf = (disk: Disk): readonly string[] =>
  disk
    .read()
    .unwrapOr([])
    .map((row) => row.key);

const writeTwoRows = async (folder: string): Promise<void> => {
  const disk = new Disk(folder);
  const written = await disk.write({
    puts: [
      { key: 'one', text: 'first' },
      { key: 'two', text: 'second'.repeat(50) },
    ],
    deletes: [],
    clearFirst: false,
  });
  assert.ok(written.isOk);
  await disk.close();
};

void test('written rows are read back, and a change with clearFirst leaves only its own rows', () =>
  inTemporaryFolder(async (folder) => {
    await writeTwoRows(folder);
    const disk = new Disk(folder);
    assert.deepEqual(keysOf(disk), ['one', 'two']);
    await disk.write({
      puts: [{ key: 'three', text: 'third' }],
      deletes: ['one'],
      clearFirst: false,
    });
    assert.deepEqual(keysOf(disk), ['three', 'two']);
    await disk.write({ puts: [{ key: 'four', text: 'fourth' }], deletes: [], clearFirst: true });
    assert.deepEqual(disk.read().unwrapOr([]), [{ key: 'four', text: 'fourth' }]);
    await disk.close();
  }));

void test('reading fails with the key of a row that does not match its checksum', () =>
  inTemporaryFolder(async (folder) => {
    await writeTwoRows(folder);
    const file = join(folder, 'table.lmdb');
    const bytes = readFileSync(file);
    for (
      let offset = bytes.indexOf('secondsecond');
      offset >= 0;
      offset = bytes.indexOf('secondsecond', offset + 1)
    )
      bytes[offset] = 0x53;
    writeFileSync(file, bytes);
    const disk = new Disk(folder);
    const read = disk.read();
    assert.ok(read.isErr && read.error.includes('two does not match its checksum'));
    await disk.close();
  }));

void test('a file without the magic number, or whose reading ended the process three times, is quarantined', () =>
  inTemporaryFolder(async (folder) => {
    await writeTwoRows(folder);
    writeFileSync(join(folder, 'table.lmdb'), Buffer.alloc(8192, 7));
    const withoutMagic = new Disk(folder);
    assert.equal(
      withoutMagic.quarantineReason,
      'the file does not start with the header of an lmdb file',
    );
    assert.deepEqual(withoutMagic.read().unwrapOr([]), []);
    await withoutMagic.close();
    await writeTwoRows(folder);
    writeFileSync(join(folder, 'opening'), '3');
    const crashing = new Disk(folder);
    assert.equal(crashing.quarantineReason, 'the process ended 3 times while reading the file');
    await crashing.close();
  }));

/** Program that writes until its data file reaches the size limit, and counts unexpected unhandled rejections. */
const fillDiskScript = (folder: string): string => `
import { Disk } from ${JSON.stringify(join(import.meta.dirname, 'disk.js'))};
import { isCommitFailure } from ${JSON.stringify(join(import.meta.dirname, 'commit-failure.js'))};
let unexpected = 0;
process.on('unhandledRejection', (reason) => { if (!isCommitFailure(reason)) unexpected += 1; });
const disk = new Disk(${JSON.stringify(folder)});
disk.read();
const outcomes = [];
for (let round = 0; round < 12; round += 1) {
  const write = (name) => disk.write({ clearFirst: false, deletes: [], puts: [{ key: name + round, text: 'x'.repeat(20000) }] });
  for (const result of await Promise.all([write('a'), write('b')])) outcomes.push(result.isOk ? 'ok' : result.error.text);
}
await new Promise((done) => { setImmediate(done); });
console.log(JSON.stringify({ unexpected, outcomes }));
process.exit(0);
`;

void test('on a full disk each write fails with the reason, and the process keeps running', () =>
  inTemporaryFolder((folder) => {
    const run = spawnSync(
      'bash',
      [
        '-c',
        'ulimit -f 200; trap "" XFSZ; exec "$0" --input-type=module -e "$1"',
        process.execPath,
        fillDiskScript(folder),
      ],
      { encoding: 'utf8' },
    );
    const lines = run.stdout.trim().split('\n');
    const last: unknown = JSON.parse(lines.at(-1) ?? '{}');
    assert.ok(
      typeof last === 'object' &&
        last !== null &&
        'unexpected' in last &&
        'outcomes' in last &&
        Array.isArray(last.outcomes),
    );
    assert.equal(last.unexpected, 0, 'unhandled rejections other than those of lmdb');
    const outcomes = last.outcomes.map(String);
    assert.ok(outcomes.includes('ok') && outcomes.at(-1) !== 'ok', outcomes.join(', '));
    assert.ok(
      outcomes.every((outcome) => outcome === 'ok' || !outcome.startsWith('Commit failed')),
      outcomes.join(', '),
    );
    return Promise.resolve();
  }));

void test('the data file does not grow with the number of changes (150 states of 4 MiB, 1,500 small changes)', () =>
  inTemporaryFolder(async (folder) => {
    const file = join(folder, 'table.lmdb');
    const disk = new Disk(folder);
    const rows = (round: number): readonly StoredRow[] =>
      Array.from({ length: 100 }, (_, index) => ({
        key: `piece/${round}/${index}`,
        text: 'x'.repeat(40 * 1024),
      }));
    const fileSizes: number[] = [];
    for (let round = 0; round < 150; round += 1) {
      const deletes = round === 0 ? [] : rows(round - 1).map((row) => row.key);
      const puts = round % 2 === 0 ? rows(round) : [];
      assert.ok((await disk.write({ puts, deletes, clearFirst: false })).isOk);
      for (let change = 0; change < 10; change += 1) {
        const serial = round * 10 + change;
        const smallRow = { key: `purge/${serial}`, text: 'y'.repeat(200) };
        const expiredKeys = [`purge/${serial - 256}`];
        assert.ok(
          (await disk.write({ puts: [smallRow], deletes: expiredKeys, clearFirst: false })).isOk,
        );
      }
      fileSizes.push(statSync(file).size);
    }
    await disk.close();
    const [earlyBytes, finalBytes] = [fileSizes[30] ?? 0, fileSizes.at(-1) ?? 0];
    assert.ok(
      finalBytes <= earlyBytes,
      `${earlyBytes} bytes after 31 states, ${finalBytes} after 150`,
    );
    assert.ok(finalBytes < 32 * 1024 * 1024, `${finalBytes} bytes`);
  }));

void test('only the last quarantined file is kept', () =>
  inTemporaryFolder(async (folder) => {
    const file = join(folder, 'table.lmdb');
    for (let round = 0; round < 4; round += 1) {
      writeFileSync(file, `no data file ${round}`);
      const disk = new Disk(folder);
      assert.ok(disk.quarantineReason !== undefined);
      await disk.close();
    }
    const quarantined = readdirSync(folder).filter((name) => name.includes('.damaged'));
    assert.equal(quarantined.length, 1, quarantined.join(', '));
    assert.equal(readFileSync(join(folder, quarantined[0] ?? ''), 'utf8'), 'no data file 3');
  }));
