/** Machines of a development fleet: kinds, names, zones, addresses and processes. */

import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Deployment, OriginGroup } from '../deployment/schema.js';
import { FleetProcess, freePort } from './fleet-process.js';

/** Kind of a machine; shields and stores are the core, and their machines also run a registry. */
export type MachineKind = 'edge' | 'shield' | 'store';

/** Simulated machine of the fleet with its processes. */
export interface Machine {
  readonly name: string;
  readonly kind: MachineKind;
  readonly zone: string;
  /** Loopback address that only this machine uses. */
  readonly host: string;
  readonly processes: readonly FleetProcess[];
  /** Address for client requests at an edge, and of the registry's HTTP API on other machines. */
  readonly httpAddress: string;
  readonly adminAddress: string;
}

/** Stub origin of the fleet. */
export interface StubOrigin {
  readonly group: OriginGroup;
  readonly name: string;
  readonly address: string;
  /** Address at which its faults are set and its records are read. */
  readonly controlAddress: string;
  readonly process: FleetProcess;
}

/** Name, zone and addresses of a machine, before its processes are created. */
export interface MachineLayout {
  readonly kind: MachineKind;
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly registryAddress: string;
  readonly registryHttpAddress: string;
  readonly programAddress: string;
  readonly adminAddress: string;
  readonly clientAddress: string;
}

/** Number of machines that every process gets as seeds. */
const seedCount = 3;

/** Returns the loopback address of a machine; each has its own, so that links between two machines can be cut. */
export const loopbackHost = (row: number, column: number): string => `127.${20 + row}.${column}.1`;

const programScript = (name: string): string =>
  fileURLToPath(new URL(`../../../${name}/bin/${name}.js`, import.meta.url));

const layOutMachine = async (
  identity: Pick<MachineLayout, 'kind' | 'name' | 'zone' | 'host'>,
): Promise<MachineLayout> => {
  const address = async (): Promise<string> => `${identity.host}:${await freePort(identity.host)}`;
  const [registryAddress, registryHttpAddress, programAddress, adminAddress, clientAddress] =
    await Promise.all([address(), address(), address(), address(), address()]);
  return {
    ...identity,
    registryAddress,
    registryHttpAddress,
    programAddress,
    adminAddress,
    clientAddress,
  };
};

/** Assigns a name, a zone and free addresses to every machine of a deployment. */
export const layOutMachines = async (deployment: Deployment): Promise<readonly MachineLayout[]> => {
  const { areas, edges, shields, stores } = deployment;
  const zone = (index: number): string => areas[index % areas.length] ?? 'here';
  const counts: readonly (readonly [MachineKind, number])[] = [
    ['shield', shields],
    ['store', stores],
    ['edge', edges],
  ];
  const machines: MachineLayout[] = [];
  for (const [row, [kind, count]] of counts.entries())
    for (let index = 0; index < count; index += 1)
      machines.push(
        await layOutMachine({
          kind,
          name: `${kind}-${index + 1}`,
          // The first store and the first shield are in different zones.
          zone: zone(kind === 'store' ? index + 1 : index),
          host: loopbackHost(row, index + 1),
        }),
      );
  return machines;
};

/** Returns the registry addresses that every process gets as seeds. */
export const seedAddresses = (machines: readonly MachineLayout[]): readonly string[] =>
  machines
    .filter(({ kind }) => kind !== 'edge')
    .slice(0, seedCount)
    .map(({ registryAddress }) => registryAddress);

/** Settings shared by all processes of a fleet. */
export interface FleetSettings {
  readonly folder: string;
  readonly seeds: readonly string[];
  /** Whether network and disk faults can be injected into the processes. */
  readonly canInjectFaults: boolean;
}

/** Returns the data folder of a store. */
export const storeDataFolder = (folder: string, store: string): string =>
  join(folder, 'data', store);

/** Returns the log folder of a fleet. */
export const logFolder = (folder: string): string => join(folder, 'log');

const registryArguments = (machine: MachineLayout): readonly string[] => [
  '--node',
  `${machine.name}-registry`,
  '--listen',
  machine.registryAddress,
  '--door',
  machine.registryHttpAddress,
];

const storeArguments = (machine: MachineLayout, folder: string): readonly string[] => [
  '--node',
  machine.name,
  '--listen',
  machine.programAddress,
  '--admin',
  machine.adminAddress,
  '--data',
  storeDataFolder(folder, machine.name),
];

const proxyArguments = (machine: MachineLayout): readonly string[] => [
  '--node',
  machine.name,
  '--role',
  machine.kind,
  '--listen',
  machine.programAddress,
  '--door',
  machine.clientAddress,
  '--admin',
  machine.adminAddress,
];

/** Creates a machine with its processes, without starting them. */
export const createMachine = (machine: MachineLayout, settings: FleetSettings): Machine => {
  const { name, kind, zone, host, adminAddress } = machine;
  const commonArguments = ['--area', zone, ...settings.seeds.flatMap((seed) => ['--seeds', seed])];
  const createProcess = (
    processName: string,
    program: string,
    args: readonly string[],
  ): FleetProcess =>
    new FleetProcess({
      name: processName,
      script: programScript(program),
      args: [...args, ...commonArguments],
      logFolder: logFolder(settings.folder),
      faultHost: settings.canInjectFaults ? host : undefined,
    });
  const program =
    kind === 'store'
      ? createProcess(name, 'store', storeArguments(machine, settings.folder))
      : createProcess(name, 'proxy', proxyArguments(machine));
  if (kind === 'edge')
    return {
      name,
      kind,
      zone,
      host,
      processes: [program],
      httpAddress: machine.clientAddress,
      adminAddress,
    };
  const registry = createProcess(`${name}-registry`, 'registry', registryArguments(machine));
  return {
    name,
    kind,
    zone,
    host,
    processes: [registry, program],
    httpAddress: machine.registryHttpAddress,
    adminAddress,
  };
};
