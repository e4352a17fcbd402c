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

/** A machine with its processes' states; never changed in place. */
export interface Machine {
  readonly index: number;
  readonly isRunning: boolean;
  readonly isPaused: boolean;
  /** How often it was started; 0 if it never was. */
  readonly incarnation: number;
  readonly clockOffset: number;
  readonly clockRate: number;
  readonly registry: RegistryState | undefined;
  readonly store: StoreState | undefined;
  readonly disk: DiskImage | undefined;
  readonly diskFault: 'none' | 'stalled' | 'full';
  /** When the last trouble that a fault caused here was over; -Infinity if there was none. */
  readonly faultedUntil: number;
  /** When it last ran again after a crash. */
  readonly crashedUntil: number;
}

const firstClockReading = 5000;
const clockReadingStep = 1117;

export const newMachine = (layout: ClusterLayout, index: number): Machine => ({
  index,
  isRunning: false,
  isPaused: false,
  incarnation: 0,
  clockOffset: firstClockReading + clockReadingStep * index,
  clockRate: layout.clockRates[index] ?? 1,
  registry: undefined,
  store: undefined,
  disk: undefined,
  diskFault: 'none',
  faultedUntil: -Infinity,
  crashedUntil: -Infinity,
});

/** A machine's own clock at a moment of true time. */
export const clockOf = (machine: Machine, at: number): Timestamp =>
  toTimestamp(machine.clockOffset + at * machine.clockRate);

const memberOf = (machine: Machine, role: Role): Member => ({
  node: nodeOf({ machine: machine.index, role }),
  role,
  area: toZoneName(`zone-${machine.index}`),
  address: addressOf({ machine: machine.index, role }),
  incarnation: toIncarnation(machine.incarnation),
});

export const peerOf = (machine: Machine, role: Role): Peer => {
  const { node, address, incarnation } = memberOf(machine, role);
  return { node, address, incarnation };
};

const foundersOf = (layout: ClusterLayout): readonly number[] =>
  Array.from({ length: layout.founders }, (_, index) => index);

const seedsOf = (layout: ClusterLayout): readonly Address[] =>
  foundersOf(layout).map((machine) => addressOf({ machine, role: 'registry' }));

const proposalOf = (layout: ClusterLayout): ClusterProposal => ({
  fleet: toFleetId('checked'),
  stores: foundersOf(layout)
    .slice(0, layout.copies)
    .map((machine) => ({
      node: nodeOf({ machine, role: 'store' }),
      address: addressOf({ machine, role: 'store' }),
    })),
  electorate: {
    serial: noSeq,
    members: foundersOf(layout).map((machine) => ({
      node: nodeOf({ machine, role: 'registry' }),
      address: addressOf({ machine, role: 'registry' }),
    })),
  },
});

/** Starts the processes of a machine; only a founder's first life may found the cluster. */
export const startMachine = (machine: Machine, layout: ClusterLayout, at: number): Machine => {
  const next: Machine = {
    ...machine,
    incarnation: machine.incarnation + 1,
    isRunning: true,
    isPaused: false,
  };
  const founds = next.incarnation === 1 && machine.index < layout.founders;
  const seed = (layout.seed * 7919 + machine.index * 104_729 + next.incarnation * 1_299_709) >>> 0;
  const registry = newRegistryState(
    memberOf(next, 'registry'),
    seedsOf(layout),
    clockOf(next, at),
    { seed },
    founds ? proposalOf(layout) : undefined,
    true,
  );
  const { copies, tolerate } = layout;
  const store = newStoreState(
    memberOf(next, 'store'),
    seedsOf(layout),
    { seed: seed ^ 0x2545f491 },
    { copies, tolerate, electorateFollowsRegistries: true },
    founds,
  );
  return { ...next, registry, store };
};

/** Ends the processes of a machine. */
export const stopMachine = (machine: Machine): Machine => ({
  ...machine,
  isRunning: false,
  isPaused: false,
  registry: undefined,
  store: undefined,
});
