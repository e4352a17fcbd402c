/** Entry point of `npm run digests`: replays all recorded runs in child processes, and compares or records their digests. */

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

  Replays all recorded runs and lists those whose digests differ.

  Flags
    --record REVISION   overwrite the recorded digests; the file header names the revision
    --processes N       number of parallel processes (4)

  Exit codes
    0  all digests are equal    1  some differ    2  invalid command line
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

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};
const workerFile = fileURLToPath(new URL('worker.js', import.meta.url));

/** Runs a child process for every `stride`-th run and returns their digests. */
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
      else
        reject(new Error(`digest worker ${first} of ${stride} exited with code ${String(code)}`));
    });
  });

/** Computes the digests of all runs, in the order of the suites. */
const digestAll = async (processCount: number): Promise<Digests> => {
  const workers = Array.from({ length: processCount }, (_, first) =>
    runWorker(first, processCount),
  );
  const digests = new Map((await Promise.all(workers)).flatMap((results) => [...results]));
  return new Map(digestRuns.map(({ name }) => [name, digests.get(name) ?? '']));
};

const compare = (digests: Digests): void => {
  const differing = differingRuns(readReference(), digests);
  for (const name of differing) print(`differs: ${name}`);
  print(`${digests.size} runs, ${differing.length} differ`);
  process.exitCode = differing.length > 0 ? 1 : 0;
};

const { record, processes } = cli.flags;
const usageErrors = [
  ...(Number.isSafeInteger(processes) && processes >= 1
    ? []
    : ['--processes: must be a positive integer']),
  ...(record === '' ? ['--record: must name the revision whose behaviour is recorded'] : []),
];
if (usageErrors.length > 0) {
  for (const line of usageErrors) process.stderr.write(`digests: ${line}\n`);
  process.exit(2);
}
const digests = await digestAll(processes);
if (record === undefined) compare(digests);
else {
  writeReference(digests, record);
  print(`${digests.size} runs recorded for ${record}`);
}
