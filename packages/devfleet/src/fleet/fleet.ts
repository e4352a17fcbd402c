/** Development fleet on one machine: its processes, their addresses, stub origins and link faults. */

import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import got from 'got';
import type { Deployment, OriginGroup } from '../deployment/schema.js';
import { FleetProcess, freePort } from './fleet-process.js';
import { LinkFaults } from './link-faults.js';
import {
  type Machine,
  type StubOrigin,
  createMachine,
  layOutMachines,
  logFolder,
  loopbackHost,
  seedAddresses,
  storeDataFolder,
} from './machine.js';
import { forEachConcurrently, waitUntil } from './wait.js';

const stubOriginScript = fileURLToPath(new URL('../../bin/stub-origin.js', import.meta.url));
const viewTimeoutMs = 2000;
const readyTimeoutMs = 1000;
const maxConcurrentStarts = 8;
const maxConcurrentOriginStarts = 4;
/** Row of loopback addresses from which origins get theirs. */
const originRow = 100;

const originArguments = (
  group: OriginGroup,
  flags: Readonly<Record<string, string>>,
): readonly string[] =>
  Object.entries({
    service: group.service,
    slots: String(group.slots),
    least: String(group.workMs[0]),
    usual: String(group.workMs[1]),
    ...flags,
  }).flatMap(([name, value]) => [`--${name}`, value]);

/** Running processes of a deployment. */
export class Fleet {
  readonly machines: Machine[] = [];
  readonly origins: StubOrigin[] = [];
  /** Cuts and delays links; has an effect only if the fleet was created with `canInjectFaults`. */
  readonly links = new LinkFaults(this.machines);
  readonly #deployment: Deployment;
  readonly #folder: string;
  readonly #canInjectFaults: boolean;
  #originCount = 0;

  /** With `canInjectFaults`, network and disk faults can be injected into the processes. */
  constructor(deployment: Deployment, folder: string, canInjectFaults = false) {
    this.#canInjectFaults = canInjectFaults;
    this.#deployment = deployment;
    this.#folder = folder;
  }

  /** HTTP addresses of all registries. */
  get registries(): readonly string[] {
    return this.machines
      .filter((machine) => machine.kind !== 'edge')
      .map((machine) => machine.httpAddress);
  }

  /** Machines that clients send requests to. */
  get edges(): readonly Machine[] {
    return this.machines.filter((machine) => machine.kind === 'edge');
  }

  /** Returns the machine with a name; throws if there is none. */
  machine(name: string): Machine {
    const machine = this.machines.find((candidate) => candidate.name === name);
    if (machine === undefined) throw new Error(`no machine is named ${name}`);
    return machine;
  }

  /** Returns the process with a name, among origins too; throws if there is none. */
  process(name: string): FleetProcess {
    const process = this.#allProcesses().find((candidate) => candidate.name === name);
    if (process === undefined) throw new Error(`no process is named ${name}`);
    return process;
  }

  /** Deletes the fleet's folder, lays out all machines and starts every process. */
  async start(): Promise<void> {
    rmSync(this.#folder, { recursive: true, force: true });
    const layouts = await layOutMachines(this.#deployment);
    const settings = {
      folder: this.#folder,
      seeds: seedAddresses(layouts),
      canInjectFaults: this.#canInjectFaults,
    };
    for (const layout of layouts) this.machines.push(createMachine(layout, settings));
    const processes = this.machines.flatMap((machine) => machine.processes);
    await forEachConcurrently(processes, maxConcurrentStarts, (process) => process.start());
    for (const group of this.#deployment.origins) {
      const names = Array.from(
        { length: group.count },
        (_, index) => `${group.service}-${index + 1}`,
      );
      await forEachConcurrently(names, maxConcurrentOriginStarts, async (name) => {
        await this.addOrigin(group, name, group.release);
      });
    }
  }

  /** Starts another origin, at a free address unless `reusedAddress` is given. */
  async addOrigin(
    group: OriginGroup,
    name: string,
    release: string,
    reusedAddress?: string,
  ): Promise<StubOrigin> {
    this.#originCount += 1;
    const instance = `${name}.${this.#originCount}`;
    const host = reusedAddress?.split(':')[0] ?? loopbackHost(originRow, this.#originCount);
    const address = reusedAddress ?? `${host}:${await freePort(host)}`;
    const controlAddress = `${host}:${await freePort(host)}`;
    const process = new FleetProcess({
      name,
      script: stubOriginScript,
      args: originArguments(group, {
        instance,
        listen: address,
        control: controlAddress,
        release,
        registries: this.registries.join(','),
      }),
      logFolder: logFolder(this.#folder),
      faultHost: undefined,
    });
    const origin: StubOrigin = { group, name, address, controlAddress, process };
    this.origins.push(origin);
    await process.start();
    return origin;
  }

  /** Returns the parsed JSON of a path from the first registry that answers 200; undefined if none does. */
  async readView(path: string): Promise<unknown> {
    for (const address of this.registries) {
      const reply = await got(`http://${address}${path}`, {
        retry: { limit: 0 },
        throwHttpErrors: false,
        timeout: { request: viewTimeoutMs },
      }).catch(() => undefined);
      if (reply?.statusCode === 200) return JSON.parse(reply.body);
    }
    return undefined;
  }

  /** Whether an edge reports that it is ready for clients. */
  async isReady(machine: Machine): Promise<boolean> {
    const reply = await got(`http://${machine.adminAddress}/ready`, {
      retry: { limit: 0 },
      throwHttpErrors: false,
      timeout: { request: readyTimeoutMs },
    });
    return reply.statusCode === 200;
  }

  /** Waits until every edge is ready for clients; false if one is not within the time. */
  async waitUntilEdgesReady(timeoutMs: number): Promise<boolean> {
    const states = await Promise.all(
      this.edges.map((edge) => waitUntil(timeoutMs, () => this.isReady(edge))),
    );
    return states.every((isReady) => isReady);
  }

  /** Returns the data folder of a store. */
  dataFolder(store: string): string {
    return storeDataFolder(this.#folder, store);
  }

  /** Kills every process, including paused ones. */
  async stop(): Promise<void> {
    await Promise.all(
      this.#allProcesses().map((process) => {
        process.signal('SIGCONT');
        return process.stop('SIGKILL');
      }),
    );
  }

  #allProcesses(): readonly FleetProcess[] {
    return [
      ...this.machines.flatMap((machine) => machine.processes),
      ...this.origins.map((origin) => origin.process),
    ];
  }
}
