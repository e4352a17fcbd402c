import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdirSync, type WriteStream } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { type ProcessFaults, noFaults } from '../fault-injection/process-faults.js';

const preloadScript = fileURLToPath(new URL('../fault-injection/preload.js', import.meta.url));

/** A port that is free now on one of this machine's own loopback numbers. */
export const freePort = (host: string): Promise<number> =>
  new Promise((done, fail) => {
    const server = createServer();
    server.once('error', fail);
    server.listen(0, host, () => {
      const spot = server.address();
      server.close(() => {
        if (spot !== null && typeof spot === 'object') done(spot.port);
        else fail(new Error('no port'));
      });
    });
  });

/** All processes that run now: none outlives whoever started them. */
const runningProcesses = new Set<ChildProcess>();
process.on('exit', () => {
  for (const child of runningProcesses) child.kill('SIGKILL');
});

/** One process of the fleet, started with the very arguments each time. */
export class FleetProcess {
  readonly name: string;
  readonly #script: string;
  readonly #args: readonly string[];
  readonly #log: WriteStream;
  /** The number of its machine, if its network and disk may be made to fail. */
  readonly #host: string | undefined;
  #faults: ProcessFaults = noFaults;
  #process: ChildProcess | undefined;
  #ended: Promise<number | null> = Promise.resolve(null);

  constructor(
    name: string,
    script: string,
    args: readonly string[],
    folder: string,
    host?: string,
  ) {
    this.name = name;
    this.#script = script;
    this.#args = args;
    this.#host = host;
    mkdirSync(folder, { recursive: true });
    this.#log = createWriteStream(join(folder, `${name}.log`), { flags: 'a' });
  }

  get isRunning(): boolean {
    return this.#process !== undefined;
  }

  /** Starts the process; settles once it says that it started. */
  start(): Promise<void> {
    const faulty = this.#host !== undefined;
    const child = spawn(
      process.execPath,
      [...(faulty ? ['--import', preloadScript] : []), this.#script, ...this.#args],
      {
        stdio: faulty ? ['ignore', 'pipe', 'pipe', 'ipc'] : ['ignore', 'pipe', 'pipe'],
        env: { ...process.env, TRAINSET_HOST: this.#host ?? '' },
      },
    );
    this.#process = child;
    this.#sendFaults();
    runningProcesses.add(child);
    this.#ended = new Promise((done) => {
      child.once('exit', (code) => {
        runningProcesses.delete(child);
        if (this.#process === child) this.#process = undefined;
        done(code);
      });
    });
    const { stderr, stdout } = child;
    return new Promise((done, fail) => {
      let told = '';
      const hear = (bytes: Buffer): void => {
        this.#log.write(bytes);
        if (told === 'started') return;
        told = (told + bytes.toString()).slice(-4000);
        if (!told.includes('"started"')) return;
        told = 'started';
        done();
      };
      stderr?.on('data', hear);
      stdout?.on('data', hear);
      child.once('exit', (code) =>
        fail(new Error(`${this.name} ended with ${String(code)}: ${told}`)),
      );
    });
  }

  signal(signal: 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'): void {
    this.#process?.kill(signal);
  }

  /** Changes what is wrong with its network or its disk. */
  setFaults(change: Partial<ProcessFaults>): void {
    this.#faults = { ...this.#faults, ...change };
    this.#sendFaults();
  }

  #sendFaults(): void {
    if (this.#host !== undefined && this.#process?.connected === true)
      this.#process.send(this.#faults, () => undefined);
  }

  /** Ends the process and waits until it is gone. */
  async stop(signal: 'SIGTERM' | 'SIGKILL' = 'SIGKILL'): Promise<number | null> {
    this.signal(signal);
    return this.#ended;
  }
}
