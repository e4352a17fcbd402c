/** Schedules that every search begins with. */

import { type ClusterLayout, type Scenario, platformLayout } from './scenario.js';
import type { Crash, Cut, Deviation, Endpoint, MessageFault } from './deviation.js';

/**
 * Schedules that once broke an invariant, or that are built to. Every search begins with them, and
 * some of its random walks vary their times.
 */

const formed: ClusterLayout = { ...platformLayout(3), spares: 0 };
const leader: Endpoint = { machine: 0, role: 'store' };
const voter: Endpoint = { machine: 1, role: 'registry' };

const delayedRenewal = (at: number, byMs: number): MessageFault => ({
  kind: 'message',
  at,
  frame: 'vote-request',
  from: leader,
  to: voter,
  action: { action: 'delay', byMs },
});
const cutOff = (machine: number, at: number, forMs: number): Cut => ({
  kind: 'cut',
  at,
  machine,
  peer: 'all',
  way: 'both',
  messages: 'lost',
  forMs,
});
const restart = (machine: number, at: number, forMs: number, disk: Crash['disk']): Crash => ({
  kind: 'crash',
  at,
  machine,
  forMs,
  disk,
});

const lateRenewals: readonly Deviation[] = [
  delayedRenewal(2600, 2000),
  delayedRenewal(2800, 1850),
  cutOff(2, 3050, 900),
  cutOff(0, 3950, 4000),
  restart(1, 4000, 20, 'kept'),
];

/** As above, but the renewals arrive after the restarted voter's abstention. */
const laterRenewals: readonly Deviation[] = [
  delayedRenewal(2600, 2450),
  delayedRenewal(2800, 2450),
  cutOff(2, 3050, 900),
  cutOff(0, 3950, 4500),
  restart(1, 4000, 20, 'kept'),
];

const heldRenewals: readonly Deviation[] = [
  { ...cutOff(1, 2600, 2370), way: 'outbound', messages: 'held' },
  cutOff(1, 3300, 900),
  restart(2, 4000, 19, 'lost'),
  { ...cutOff(0, 4200, 1200), messages: 'held' },
];

/** A schedule with what it is about. */
export interface NamedScenario {
  readonly name: string;
  readonly scenario: Scenario;
}

/** The schedules, each with the property that it once broke. */
export const corpus: readonly NamedScenario[] = [
  {
    name: 'two late renewals of a former holder do not make a restarted voter sure of its epoch',
    scenario: { layout: formed, deviations: lateRenewals },
  },
  {
    name: 'two renewals of a former holder prove nothing to a voter that is past its abstention',
    scenario: { layout: formed, deviations: laterRenewals },
  },
  {
    name: 'renewals that a cut held back bring a restarted voter no second primary of an epoch',
    scenario: {
      layout: { ...platformLayout(3, 2), clockRates: [0.98, 1.02, 1.02] },
      deviations: heldRenewals,
    },
  },
];
