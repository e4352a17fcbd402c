/** Corpus of schedules with which every search begins. */

import { type ClusterLayout, type Scenario, platformLayout } from './scenario.js';
import type { Crash, Cut, Deviation, Endpoint, MessageFault } from './deviation.js';

const threeMachines: ClusterLayout = { ...platformLayout(3), joiningMachineCount: 0 };
const primary: Endpoint = { machine: 0, role: 'store' };
const voter: Endpoint = { machine: 1, role: 'registry' };

const delayedRenewal = (at: number, byMs: number): MessageFault => ({
  kind: 'message',
  at,
  frame: 'vote-request',
  from: primary,
  to: voter,
  action: { kind: 'delay', byMs },
});
const cutOff = (machine: number, at: number, durationMs: number): Cut => ({
  kind: 'cut',
  at,
  machine,
  peer: 'all',
  direction: 'both',
  messages: 'lost',
  durationMs,
});
const restart = (machine: number, at: number, durationMs: number, disk: Crash['disk']): Crash => ({
  kind: 'crash',
  at,
  machine,
  durationMs,
  disk,
});

const lateRenewals: readonly Deviation[] = [
  delayedRenewal(2600, 2000),
  delayedRenewal(2800, 1850),
  cutOff(2, 3050, 900),
  cutOff(0, 3950, 4000),
  restart(1, 4000, 20, 'kept'),
];

/** Variant of lateRenewals in which they arrive after the restarted voter's abstention. */
const laterRenewals: readonly Deviation[] = [
  delayedRenewal(2600, 2450),
  delayedRenewal(2800, 2450),
  cutOff(2, 3050, 900),
  cutOff(0, 3950, 4500),
  restart(1, 4000, 20, 'kept'),
];

const heldRenewals: readonly Deviation[] = [
  { ...cutOff(1, 2600, 2370), direction: 'outbound', messages: 'held' },
  cutOff(1, 3300, 900),
  restart(2, 4000, 19, 'lost'),
  { ...cutOff(0, 4200, 1200), messages: 'held' },
];

/** Schedule with the property that it checks. */
export interface NamedScenario {
  readonly name: string;
  readonly scenario: Scenario;
}

/** Schedules that once violated an invariant; random walks also vary their times. */
export const corpus: readonly NamedScenario[] = [
  {
    name: 'two late renewals from a former lease holder do not confirm the epoch of a restarted voter',
    scenario: { layout: threeMachines, deviations: lateRenewals },
  },
  {
    name: 'two renewals from a former lease holder do not confirm the epoch of a voter past its abstention',
    scenario: { layout: threeMachines, deviations: laterRenewals },
  },
  {
    name: 'renewals delayed by a network partition do not lead to a second primary of an epoch',
    scenario: {
      layout: { ...platformLayout(3, 2), clockRates: [0.98, 1.02, 1.02] },
      deviations: heldRenewals,
    },
  },
];
