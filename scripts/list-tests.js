/**
 * Lists the test files that `npm test` runs, one a line. Files that KNOWN-RED.txt names are passed over and told on
 * standard error, each with its cause and issue. A line of KNOWN-RED.txt is `FILE: CAUSE (issue N)`, FILE the source
 * of a test that holds nothing else.
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';

const knownRedFile = 'KNOWN-RED.txt';
const maxKnownRed = 3;

/** Names of all files under a folder whose path fits. */
const filesUnder = (folder, fits) =>
  readdirSync(folder, { recursive: true })
    .map((name) => `${folder}/${name}`)
    .filter((path) => !path.includes('node_modules') && fits(path));

const isBuiltTest = (path) => path.includes('/dist/') && path.endsWith('.test.js');
const sourceOf = (path) => path.replace('/dist/', '/src/').replace(/\.js$/, '.ts');

const knownRed = existsSync(knownRedFile)
  ? readFileSync(knownRedFile, 'utf8')
      .split('\n')
      .filter((line) => line.trim() !== '')
  : [];
if (knownRed.length > maxKnownRed) throw new Error(`${knownRedFile} has over ${maxKnownRed} lines`);

const tests = [
  ...filesUnder('packages', isBuiltTest),
  ...filesUnder('platform', isBuiltTest),
  ...filesUnder('platform/days', (path) => path.endsWith('.test.js')),
  ...filesUnder('scripts', (path) => path.endsWith('.test.js')),
].sort();

const isKnownRed = (path) => knownRed.some((line) => line.startsWith(`${sourceOf(path)}: `));
for (const line of knownRed) process.stderr.write(`known red, passed over: ${line}\n`);
const passedOver = tests.filter(isKnownRed);
if (passedOver.length !== knownRed.length)
  throw new Error(`${knownRedFile} names a test that is not there`);
process.stdout.write(`${tests.filter((path) => !isKnownRed(path)).join('\n')}\n`);
