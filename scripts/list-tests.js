/**
 * Prints the paths of the test files that `npm test` runs, one per line. Files listed in KNOWN-RED.txt are skipped and
 * printed to standard error with their cause. A line of KNOWN-RED.txt is `FILE: CAUSE (issue N)`, where FILE is the
 * source of a test file that contains only the failing test, or `run: COMMAND: CAUSE (issue N)` for a run that is started
 * by hand; those are printed only.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';

const knownRedFile = 'KNOWN-RED.txt';
const maxKnownRedTests = 3;

/** Lists the paths of all files under a folder that match a predicate. */
const filesUnder = (folder, matches) =>
  readdirSync(folder, { recursive: true })
    .map((name) => `${folder}/${name}`)
    .filter((path) => !path.includes('node_modules') && matches(path));

const isBuiltTest = (path) => path.includes('/dist/') && path.endsWith('.test.js');
const sourceOf = (path) => path.replace('/dist/', '/src/').replace(/\.js$/, '.ts');

const knownRedLines = existsSync(knownRedFile)
  ? readFileSync(knownRedFile, 'utf8')
      .split('\n')
      .filter((line) => line.trim() !== '')
  : [];
if (knownRedLines.length > maxKnownRedTests)
  throw new Error(`${knownRedFile} lists more than ${maxKnownRedTests} tests`);

const isRunByHand = (line) => line.startsWith('run: ');
const knownRedTests = knownRedLines.filter((line) => !isRunByHand(line));

const tests = [
  ...filesUnder('packages', isBuiltTest),
  ...filesUnder('platform', isBuiltTest),
  ...filesUnder('platform/days', (path) => path.endsWith('.test.js')),
  ...filesUnder('scripts', (path) => path.endsWith('.test.js')),
].sort();

const isKnownRed = (path) => knownRedTests.some((line) => line.startsWith(`${sourceOf(path)}: `));
for (const line of knownRedLines) process.stderr.write(`known failure, skipped: ${line}\n`);
const skippedTests = tests.filter(isKnownRed);
if (skippedTests.length !== knownRedTests.length)
  throw new Error(`${knownRedFile} lists a test file that does not exist`);
process.stdout.write(`${tests.filter((path) => !isKnownRed(path)).join('\n')}\n`);
