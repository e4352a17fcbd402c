/**
 * Machine with a registry, a store, a disk and a clock, and the start and stop of its processes.
 */

import {
  type Address,
  type Timestamp,
  noSeq,
  toZoneName,
  toFleetId,
  toIncarnation,
  toTimestamp,
} from '@switchwheel/types';
import type { Member, Peer } from '@switchwheel/transport';
import {
  type ClusterProposal,
  type RegistryState,
  newRegistryState,
} from '@switchwheel/membership';
import { type StoreState, newStoreState } from '@switchwheel/replicated-store';
import type { Role } from '../schedule/deviation.js';
import type { ClusterLayout } from '../schedule/scenario.js';
import type { DiskImage } from './disk.js';
import { addressOf, nodeOf } from './endpoints.js';

/** Immutable state of a machine and its processes. */
export interface Machine {
  readonly index: number;
  readonly isRunning: boolean;
  readonly isPaused: boolean;
  /** Number of starts; 0 before the first. */
  readonly incarnation: number;
  readonly clockOffset: number;
  readonly clockRate: number;
  readonly registry: RegistryState | undefined;
  readonly store: StoreState | undefined;
  readonly disk: DiskImage | undefined;
  readonly diskFault: 'none' | 'stalled' | 'full';
  /** Time at which its last fault ended; -Infinity if there was none. */
  readonly faultedUntil: number;
  /** Time of its last restart after a crash; -Infinity if there was none. */
  readonly crashedUntil: number;
}

const firstClockOffsetMs = 5000;
const clockOffsetStepMs = 1117;

/** Creates a machine that was never started, with an empty disk. */
export const newMachine = (layout: ClusterLayout, index: number): Machine => ({
  index,
  isRunning: false,
  isPaused: false,
  incarnation: 0,
  clockOffset: firstClockOffsetMs + clockOffsetStepMs * index,
  clockRate: layout.clockRates[index] ?? 1,
  registry: undefined,
  store: undefined,
  disk: undefined,
  diskFault: 'none',
  faultedUntil: -Infinity,
  crashedUntil: -Infinity,
});

/** Converts simulated time to the time of a machine's clock. */
export const clockOf = (machine: Machine, at: number): Timestamp =>
  toTimestamp(machine.clockOffset + at * machine.clockRate);

const memberOf = (machine: Machine, role: Role): Member => ({
  node: nodeOf({ machine: machine.index, role }),
  role,
  area: toZoneName(`zone-${machine.index}`),
  address: addressOf({ machine: machine.index, role }),
  incarnation: toIncarnation(machine.incarnation),
});

/** Returns a process of a machine as its peers identify it. */
export const peerOf = (machine: Machine, role: Role): Peer => {
  const { node, address, incarnation } = memberOf(machine, role);
  return { node, address, incarnation };
};

const initialMachinesOf = (layout: ClusterLayout): readonly number[] =>
  Array.from({ length: layout.initialMachineCount }, (_, index) => index);

const seedsOf = (layout: ClusterLayout): readonly Address[] =>
  initialMachinesOf(layout).map((machine) => addressOf({ machine, role: 'registry' }));

const proposalOf = (layout: ClusterLayout): ClusterProposal => ({
  fleet: toFleetId('checked'),
  stores: initialMachinesOf(layout)
    .slice(0, layout.copies)
    .map((machine) => ({
      node: nodeOf({ machine, role: 'store' }),
      address: addressOf({ machine, role: 'store' }),
    })),
  electorate: {
    serial: noSeq,
    members: initialMachinesOf(layout).map((machine) => ({
      node: nodeOf({ machine, role: 'registry' }),
      address: addressOf({ machine, role: 'registry' }),
    })),
  },
});

/** Starts the processes of a machine; only the first start of an initial machine may bootstrap the cluster. */
export const startMachine = (machine: Machine, layout: ClusterLayout, at: number): Machine => {
  const next: Machine = {
    ...machine,
    incarnation: machine.incarnation + 1,
    isRunning: true,
    isPaused: false,
  };
  const mayBootstrap = next.incarnation === 1 && machine.index < layout.initialMachineCount;
  const seed = (layout.seed * 7919 + machine.index * 104_729 + next.incarnation * 1_299_709) >>> 0;
  const registry = newRegistryState(
    memberOf(next, 'registry'),
    seedsOf(layout),
    clockOf(next, at),
    { seed },
    mayBootstrap ? proposalOf(layout) : undefined,
    true,
  );
  const { copies, tolerate } = layout;
  const store = newStoreState(
    memberOf(next, 'store'),
    seedsOf(layout),
    { seed: seed ^ 0x2545f491 },
    { copies, tolerate, electorateFollowsRegistries: true },
    mayBootstrap,
  );
  return { ...next, registry, store };
};

/** Stops the processes of a machine; its disk is kept. */
export const stopMachine = (machine: Machine): Machine => ({
  ...machine,
  isRunning: false,
  isPaused: false,
  registry: undefined,
  store: undefined,
});
