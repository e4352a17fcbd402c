/** Text snapshots in the `fixtures/` folder of a package. */

import assert from 'node:assert/strict';
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';

/** Asserts that a text equals the committed snapshot of that name. */
export type MatchSnapshot = (name: string, actual: string) => void;

/** Environment variable that, if set to `1`, makes snapshots be written before they are compared. */
const updateVariable = 'UPDATE_SNAPSHOTS';

const packageFolderOf = (folder: string): string =>
  existsSync(join(folder, 'package.json')) ? folder : packageFolderOf(dirname(folder));

/** Returns the function that compares with the snapshots of the package that a test file belongs to. */
export const snapshotsFor = (testFolder: string): MatchSnapshot => {
  const folder = join(packageFolderOf(testFolder), 'fixtures');
  return (name, actual) => {
    const file = join(folder, `${name}.txt`);
    const text = `${actual.trimEnd()}\n`;
    if (process.env[updateVariable] === '1') {
      mkdirSync(folder, { recursive: true });
      writeFileSync(file, text);
    }
    assert.ok(
      existsSync(file),
      `snapshot ${file} does not exist: set UPDATE_SNAPSHOTS=1 to write it`,
    );
    assert.equal(text, readFileSync(file, 'utf8'), `output differs from the snapshot ${name}`);
  };
};
