/** Plays every so-many-th run and prints its digest: `worker.js FIRST STRIDE`. */

import { formatDigests } from '@switchwheel/simulator/digest';
import { digestRuns } from './suites.js';

const [first = 0, stride = 1] = process.argv.slice(2).map(Number);
for (let place = first; place < digestRuns.length; place += stride) {
  const run = digestRuns[place];
  if (run !== undefined) process.stdout.write(formatDigests(new Map([[run.name, run.digest()]])));
}
