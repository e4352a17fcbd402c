/** The machines of a development fleet: their kinds, names, zones and addresses, and the processes that run on them. */

import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { Deployment, OriginGroup } from '../deployment/schema.js';
import { FleetProcess, freePort } from './fleet-process.js';

/** An edge, or a machine of the core: each of these runs a registry too. */
export type MachineKind = 'edge' | 'shield' | 'store';

/** A machine of the fleet with the processes on it. */
export interface Machine {
  readonly name: string;
  readonly kind: MachineKind;
  readonly zone: string;
  /** Its own loopback address. */
  readonly host: string;
  readonly processes: readonly FleetProcess[];
  /** Where clients reach an edge, and operators the registry of any other machine. */
  readonly httpAddress: string;
  readonly adminAddress: string;
}

/** A stub origin that runs beside the fleet. */
export interface StubOrigin {
  readonly group: OriginGroup;
  readonly name: string;
  readonly address: string;
  /** Where its faults are set and its records are read. */
  readonly controlAddress: string;
  readonly process: FleetProcess;
}

/** A machine before its processes are made. */
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

/** How many machines are named as seeds to every process. */
const seedCount = 3;

/** A loopback address of its own for each machine, so that links between two of them can be cut. */
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

/** Gives every machine of a deployment its name, zone and free addresses. */
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

/** The registry addresses that every process is given to find the fleet by. */
export const seedAddresses = (machines: readonly MachineLayout[]): readonly string[] =>
  machines
    .filter(({ kind }) => kind !== 'edge')
    .slice(0, seedCount)
    .map(({ registryAddress }) => registryAddress);

/** Where the processes of a fleet keep data and logs, and how they find each other. */
export interface FleetSettings {
  readonly folder: string;
  readonly seeds: readonly string[];
  /** Whether the network and disks of the processes can be made to fail. */
  readonly canInjectFaults: boolean;
}

/** The folder that a store keeps its data in. */
export const storeDataFolder = (folder: string, store: string): string =>
  join(folder, 'data', store);

/** The folder of all logs of a fleet. */
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

/** Makes a machine with its processes; none of them is started. */
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
