/** Every fault that a run causes unless it names its own. */

import { callerFaults } from './caller-faults.js';
import type { Fault } from './fault.js';
import { networkFaults } from './network-faults.js';
import { operatorFaults } from './operator-commands.js';
import { originFaults } from './origin-faults.js';
import { processFaults } from './process-faults.js';
import { storeFaults } from './store-faults.js';
import { zoneFaults } from './zone-faults.js';

export const allFaults: readonly Fault[] = [
  ...storeFaults,
  ...processFaults,
  ...zoneFaults,
  ...callerFaults,
  ...networkFaults,
  ...originFaults,
  ...operatorFaults,
];
