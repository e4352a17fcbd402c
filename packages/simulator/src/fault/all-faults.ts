/** The faults that a run injects by default. */

import { callerFaults } from './caller-faults.js';
import type { Fault } from './fault.js';
import { networkFaults } from './network-faults.js';
import { operatorFaults } from './operator-commands.js';
import { originFaults } from './origin-faults.js';
import { processFaults } from './process-faults.js';
import { storeFaults } from './store-faults.js';
import { zoneFaults } from './zone-faults.js';

/** All faults except numbered commands. The order determines what a seed picks. */
export const allFaults: readonly Fault[] = [
  ...storeFaults,
  ...processFaults,
  ...zoneFaults,
  ...callerFaults,
  ...networkFaults,
  ...originFaults,
  ...operatorFaults,
];
