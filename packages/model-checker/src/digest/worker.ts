/** Prints the digest of every STRIDE-th run, starting at index FIRST: `worker.js FIRST STRIDE`. */

import { formatDigests } from '@switchwheel/simulator/digest';
import { digestRuns } from './suites.js';

const [first = 0, stride = 1] = process.argv.slice(2).map(Number);
for (let index = first; index < digestRuns.length; index += stride) {
  const run = digestRuns[index];
  if (run !== undefined) process.stdout.write(formatDigests(new Map([[run.name, run.digest()]])));
}
