/** Starts, signals and stops one process of a development fleet, and sends it the faults to inject. */

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

/** Returns a port that is currently free on a loopback address. */
export const freePort = (host: string): Promise<number> =>
  new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const address = server.address();
      server.close(() => {
        if (address !== null && typeof address === 'object') resolve(address.port);
        else reject(new Error('cannot reserve a free port: the listener has no TCP address'));
      });
    });
  });

/** Running child processes; killed when this process exits. */
const runningProcesses = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of runningProcesses) child.kill('SIGKILL');
});

/** Name, command line and log folder of a process; the same on each start. */
export interface FleetProcessOptions {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  readonly logFolder: string;
  /** Address of its machine if faults can be injected into the process, undefined otherwise. */
  readonly faultHost: string | undefined;
}

/** Characters of a process's output that the error of a failed start quotes. */
const maxStartOutputLength = 4000;
/** Text of the log line that a process writes once it is up. */
const startedMarker = '"started"';

/** Process of the fleet; can be started again after it has exited. */
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

  /** Whether the process was started and has not exited. */
  get isRunning(): boolean {
    return this.#process !== undefined;
  }

  /** Starts the process; resolves once it reports that it is up, and rejects if it exits before that. */
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

  /** Copies the output of a process to its log, and waits for the log line that reports its start. */
  #waitUntilStarted(child: ChildProcess): Promise<void> {
    return new Promise((resolve, reject) => {
      let hasStarted = false;
      let output = '';
      const onOutput = (bytes: Buffer): void => {
        this.#log.write(bytes);
        if (hasStarted) return;
        output = (output + bytes.toString()).slice(-maxStartOutputLength);
        if (!output.includes(startedMarker)) return;
        hasStarted = true;
        resolve();
      };
      child.stderr?.on('data', onOutput);
      child.stdout?.on('data', onOutput);
      child.once('exit', (code) =>
        reject(
          new Error(
            `${this.name} exited with code ${String(code)} before it had started: ${output}`,
          ),
        ),
      );
    });
  }

  /** Sends a signal if the process is running. */
  signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
    this.#process?.kill(signal);
  }

  /** Changes some of the injected faults; they persist across restarts. */
  setFaults(change: Partial<ProcessFaults>): void {
    this.#faults = { ...this.#faults, ...change };
    this.#sendFaults();
  }

  #sendFaults(): void {
    if (this.#faultHost !== undefined && this.#process?.connected === true)
      this.#process.send(this.#faults, () => undefined);
  }

  /** Terminates the process with a signal and returns its exit code; null if the signal killed it. */
  async stop(signal: 'SIGTERM' | 'SIGKILL' = 'SIGKILL'): Promise<number | null> {
    this.signal(signal);
    return this.#exitCode;
  }
}
