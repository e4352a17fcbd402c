/** Starts, signals and stops one process of a development fleet, and sends it the faults it should have. */

import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, type WriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { createServer } from 'node:net';
import { join } from 'node:path';
import {
  type ProcessFaults,
  faultHostVariable,
  noFaults,
} from '../fault-injection/process-faults.js';

const preloadScript = fileURLToPath(new URL('../fault-injection/preload.js', import.meta.url));

/** A port that is free now on a loopback address. */
export const freePort = (host: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const address = server.address();
      server.close(() => {
        if (address !== null && typeof address === 'object') resolve(address.port);
        else reject(new Error('no port'));
      });
    });
  });

/** All processes that run now: they are killed when this process exits. */
const runningProcesses = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of runningProcesses) child.kill('SIGKILL');
});

/** How a process is started; the same each time. */
export interface FleetProcessOptions {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  readonly logFolder: string;
  /** The address of its machine, if its network and disk can be made to fail. */
  readonly faultHost: string | undefined;
}

/** How much of a process's output is kept to explain a start that failed. */
const maxStartOutput = 4000;
/** The log line by which a process reports that it is up. */
const startedMark = '"started"';

/** One process of the fleet, which can be started again after it ended. */
export class FleetProcess {
  readonly name: string;
  readonly #script: string;
  readonly #args: readonly string[];
  readonly #log: WriteStream;
  readonly #faultHost: string | undefined;
  #faults: ProcessFaults = noFaults;
  #process: ChildProcess | undefined;
  #exitCode: Promise<number | null> = Promise.resolve(null);

  constructor({ name, script, args, logFolder, faultHost }: FleetProcessOptions) {
    this.name = name;
    this.#script = script;
    this.#args = args;
    this.#faultHost = faultHost;
    mkdirSync(logFolder, { recursive: true });
    this.#log = createWriteStream(join(logFolder, `${name}.log`), { flags: 'a' });
  }

  /** Whether it was started and has not exited. */
  get isRunning(): boolean {
    return this.#process !== undefined;
  }

  /** Starts the process; settles once it reports that it is up, and rejects if it exits before. */
  start(): Promise<void> {
    const child = this.#spawn();
    this.#process = child;
    this.#sendFaults();
    runningProcesses.add(child);
    this.#exitCode = new Promise((resolve) => {
      child.once('exit', (code) => {
        runningProcesses.delete(child);
        if (this.#process === child) this.#process = undefined;
        resolve(code);
      });
    });
    return this.#waitUntilStarted(child);
  }

  #spawn(): ChildProcess {
    const canFail = this.#faultHost !== undefined;
    return spawn(
      process.execPath,
      [...(canFail ? ['--import', preloadScript] : []), this.#script, ...this.#args],
      {
        stdio: canFail ? ['ignore', 'pipe', 'pipe', 'ipc'] : ['ignore', 'pipe', 'pipe'],
        env: { ...process.env, [faultHostVariable]: this.#faultHost ?? '' },
      },
    );
  }

  /** Copies the output of a process to its log, and waits for the line that says it started. */
  #waitUntilStarted(child: ChildProcess): Promise<void> {
    return new Promise((resolve, reject) => {
      let hasStarted = false;
      let output = '';
      const onOutput = (bytes: Buffer): void => {
        this.#log.write(bytes);
        if (hasStarted) return;
        output = (output + bytes.toString()).slice(-maxStartOutput);
        if (!output.includes(startedMark)) return;
        hasStarted = true;
        resolve();
      };
      child.stderr?.on('data', onOutput);
      child.stdout?.on('data', onOutput);
      child.once('exit', (code) =>
        reject(new Error(`${this.name} ended with ${String(code)}: ${output}`)),
      );
    });
  }

  /** Sends a signal, if it runs. */
  signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
    this.#process?.kill(signal);
  }

  /** Changes the faults of its network or disk; they last over a restart. */
  setFaults(change: Partial<ProcessFaults>): void {
    this.#faults = { ...this.#faults, ...change };
    this.#sendFaults();
  }

  #sendFaults(): void {
    if (this.#faultHost !== undefined && this.#process?.connected === true)
      this.#process.send(this.#faults, () => undefined);
  }

  /** Sends a signal that ends the process and waits for its exit code; null if a signal ended it. */
  async stop(signal: 'SIGTERM' | 'SIGKILL' = 'SIGKILL'): Promise<number | null> {
    this.signal(signal);
    return this.#exitCode;
  }
}
