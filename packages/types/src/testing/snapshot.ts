/** Text snapshots in a package's `fixtures/` folder. */

import assert from 'node:assert/strict';
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';

/** Asserts that a text is what the committed snapshot of that name holds. */
export type MatchSnapshot = (name: string, actual: string) => void;

/** When this variable is `1`, snapshots are written instead of compared. */
const updateVariable = 'UPDATE_SNAPSHOTS';

const packageFolderOf = (folder: string): string =>
  existsSync(join(folder, 'package.json')) ? folder : packageFolderOf(dirname(folder));

/** The snapshots of the package that a test file belongs to; they are text files in its `fixtures/` folder. */
export const snapshotsFor = (testFolder: string): MatchSnapshot => {
  const folder = join(packageFolderOf(testFolder), 'fixtures');
  return (name, actual) => {
    const file = join(folder, `${name}.txt`);
    const text = `${actual.trimEnd()}\n`;
    if (process.env[updateVariable] === '1') {
      mkdirSync(folder, { recursive: true });
      writeFileSync(file, text);
    }
    assert.ok(existsSync(file), `no snapshot ${file}`);
    assert.equal(text, readFileSync(file, 'utf8'), `the outer form ${name} changed`);
  };
};
