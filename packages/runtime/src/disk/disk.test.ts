/** The data folder on a real disk: atomicity, checksums, damaged files, a full disk, bounded growth. */

import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, readdirSync, rmSync, statSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Disk, type StoredRow } from './disk.js';

const inTemporaryFolder = async (work: (folder: string) => Promise<void>): Promise<void> => {
  const folder = mkdtempSync(join(tmpdir(), 'disk-'));
  try {
    await work(folder);
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
};

const keysOn = (disk: Disk): readonly string[] =>
  disk
    .read()
    .unwrapOr([])
    .map((row) => row.key);

/** Writes two rows. */
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

void test('changes are read back, and a change that clears leaves only its own rows', () =>
  inTemporaryFolder(async (folder) => {
    await writeTwoRows(folder);
    const disk = new Disk(folder);
    assert.deepEqual(keysOn(disk), ['one', 'two']);
    await disk.write({
      puts: [{ key: 'three', text: 'third' }],
      deletes: ['one'],
      clearFirst: false,
    });
    assert.deepEqual(keysOn(disk), ['three', 'two']);
    await disk.write({ puts: [{ key: 'four', text: 'fourth' }], deletes: [], clearFirst: true });
    assert.deepEqual(disk.read().unwrapOr([]), [{ key: 'four', text: 'fourth' }]);
    await disk.close();
  }));

void test('a row that does not match its checksum makes reading fail with the row named', () =>
  inTemporaryFolder(async (folder) => {
    await writeTwoRows(folder);
    const file = join(folder, 'table.lmdb');
    const bytes = readFileSync(file);
    for (
      let at = bytes.indexOf('secondsecond');
      at >= 0;
      at = bytes.indexOf('secondsecond', at + 1)
    )
      bytes[at] = 0x53;
    writeFileSync(file, bytes);
    const disk = new Disk(folder);
    const read = disk.read();
    assert.ok(read.isErr && read.error.includes('two does not fit its checksum'));
    await disk.close();
  }));

void test('a file without the magic number is set aside, and so is one that ended the process three times', () =>
  inTemporaryFolder(async (folder) => {
    await writeTwoRows(folder);
    writeFileSync(join(folder, 'table.lmdb'), Buffer.alloc(8192, 7));
    const first = new Disk(folder);
    assert.equal(first.quarantineReason, 'the file does not begin as it must');
    assert.deepEqual(first.read().unwrapOr([]), []);
    await first.close();
    await writeTwoRows(folder);
    writeFileSync(join(folder, 'opening'), '3');
    const second = new Disk(folder);
    assert.equal(second.quarantineReason, 'the process ended 3 times while reading it');
    await second.close();
  }));

/** A program that writes until its data file may not grow any more, and counts rejections that nobody handled. */
const fillDiskScript = (folder: string): string => `
import { Disk } from ${JSON.stringify(join(import.meta.dirname, 'disk.js'))};
import { isCommitFailure } from ${JSON.stringify(join(import.meta.dirname, 'commit-failure.js'))};
let unexpected = 0;
process.on('unhandledRejection', (reason) => { if (!isCommitFailure(reason)) unexpected += 1; });
const disk = new Disk(${JSON.stringify(folder)});
disk.read();
const outcomes = [];
for (let at = 0; at < 12; at += 1) {
  const write = (name) => disk.write({ clearFirst: false, deletes: [], puts: [{ key: name + at, text: 'x'.repeat(20000) }] });
  for (const result of await Promise.all([write('a'), write('b')])) outcomes.push(result.isOk ? 'ok' : result.error.text);
}
await new Promise((done) => { setImmediate(done); });
console.log(JSON.stringify({ unexpected, outcomes }));
process.exit(0);
`;

void test('a full disk fails each write with the reason and ends nothing', () =>
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
    assert.equal(last.unexpected, 0, "no rejection but the library's own, which programs let be");
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
      Array.from({ length: 100 }, (_, at) => ({
        key: `piece/${round}/${at}`,
        text: 'x'.repeat(40 * 1024),
      }));
    const sizes: number[] = [];
    for (let round = 0; round < 150; round += 1) {
      const drops = round === 0 ? [] : rows(round - 1).map((row) => row.key);
      const sets = round % 2 === 0 ? rows(round) : [];
      assert.ok((await disk.write({ puts: sets, deletes: drops, clearFirst: false })).isOk);
      for (let change = 0; change < 10; change += 1) {
        const serial = round * 10 + change;
        const small = { key: `purge/${serial}`, text: 'y'.repeat(200) };
        const old = [`purge/${serial - 256}`];
        assert.ok((await disk.write({ puts: [small], deletes: old, clearFirst: false })).isOk);
      }
      sizes.push(statSync(file).size);
    }
    await disk.close();
    const [early, late] = [sizes[30] ?? 0, sizes.at(-1) ?? 0];
    assert.ok(late <= early, `${early} bytes after 31 states, ${late} after 150`);
    assert.ok(late < 32 * 1024 * 1024, `${late} bytes`);
  }));

void test('of the files set aside as damaged only the last one is kept', () =>
  inTemporaryFolder(async (folder) => {
    const file = join(folder, 'table.lmdb');
    for (let turn = 0; turn < 4; turn += 1) {
      writeFileSync(file, `no data file ${turn}`);
      const disk = new Disk(folder);
      assert.ok(disk.quarantineReason !== undefined);
      await disk.close();
    }
    const quarantined = readdirSync(folder).filter((name) => name.includes('.damaged'));
    assert.equal(quarantined.length, 1, quarantined.join(', '));
    assert.equal(readFileSync(join(folder, quarantined[0] ?? ''), 'utf8'), 'no data file 3');
  }));
