/** Replays all recorded runs in a few processes, and compares or records their digests. */

import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import meow from 'meow';
import {
  type Digests,
  differingRuns,
  parseDigests,
  readReference,
  writeReference,
} from '@switchwheel/simulator/digest';
import { digestRuns } from './suites.js';

const cli = meow(
  `
  Usage
    $ npm run digests -- [flags]

  Replays all recorded runs and names those whose digests differ.

  Flags
    --record REVISION   write the data file anew; its header names the revision
    --processes N       how many processes work at once (4)

  Exit codes
    0  all digests are equal    1  some differ    2  wrong use
`,
  {
    importMeta: import.meta,
    description: 'Compares deterministic runs with recorded ones.',
    flags: {
      record: { type: 'string' },
      processes: { type: 'number', default: 4 },
    },
  },
);

const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};
const workerFile = fileURLToPath(new URL('worker.js', import.meta.url));

/** What one process found for its share of the runs. */
const runWorker = (first: number, stride: number): Promise<Digests> =>
  new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [workerFile, String(first), String(stride)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    let output = '';
    child.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    child.on('error', reject);
    child.on('close', (code) => {
      if (code === 0) resolve(parseDigests(output));
      else reject(new Error(`worker ${first} of ${stride} ended with ${String(code)}`));
    });
  });

/** The digests of all runs, in the order of the suites. */
const digestAll = async (processes: number): Promise<Digests> => {
  const shares = Array.from({ length: processes }, (_, first) => runWorker(first, processes));
  const digests = new Map((await Promise.all(shares)).flatMap((share) => [...share]));
  return new Map(digestRuns.map(({ name }) => [name, digests.get(name) ?? '']));
};

const compare = (digests: Digests): void => {
  const differing = differingRuns(readReference(), digests);
  for (const name of differing) say(`differs: ${name}`);
  say(`${digests.size} runs, ${differing.length} differ`);
  process.exitCode = differing.length > 0 ? 1 : 0;
};

const { record, processes } = cli.flags;
const wrongUse = [
  ...(Number.isSafeInteger(processes) && processes >= 1
    ? []
    : ['--processes: a whole number from 1']),
  ...(record === '' ? ['--record: name the revision whose behaviour is recorded'] : []),
];
if (wrongUse.length > 0) {
  for (const line of wrongUse) process.stderr.write(`digests: ${line}\n`);
  process.exit(2);
}
const digests = await digestAll(processes);
if (record === undefined) compare(digests);
else {
  writeReference(digests, record);
  say(`${digests.size} runs recorded for ${record}`);
}
