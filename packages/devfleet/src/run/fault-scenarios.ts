/** Fault scenarios by their names for `devfleet fail --cause`. */

import type { RuleResult } from '../report/report.js';
import { delay } from '../fleet/wait.js';
import { floodingClass, impatientClients } from './scenarios/client.js';
import {
  type FaultScenario,
  firstEdge,
  serviceLeader,
  withCommonRules,
  primaryStore,
  firstRegistry,
} from './scenarios/scenario.js';
import { failingDisk, lossAfterConfirmation } from './scenarios/disk.js';
import {
  allEdges,
  flapServiceLeader,
  halfOfCore,
  isolate,
  machineRunning,
  slowLinks,
} from './scenarios/network.js';
import {
  collidingCommands,
  hugeConfiguration,
  invalidConfiguration,
  purgeFlood,
} from './scenarios/operator.js';
import {
  badRelease,
  crashOrigin,
  goodRelease,
  originFault,
  reuseAddress,
  replaceOrigins,
} from './scenarios/origin.js';
import {
  freeze,
  killAllProcesses,
  killAndRestart,
  loseZone,
  restartInTurn,
  replaceRegistries,
} from './scenarios/process.js';

/** Pause after each scenario of a sequence. */
const pauseAfterScenarioMs = 2000;

/** Individual scenarios by name. */
const scenarios: ReadonlyMap<string, FaultScenario> = new Map<string, FaultScenario>([
  ['none', withCommonRules(() => delay(5000))],
  ['kill-primary', withCommonRules(killAndRestart(primaryStore))],
  ['kill-keeper', withCommonRules(killAndRestart(serviceLeader))],
  ['kill-edge', withCommonRules(killAndRestart(firstEdge))],
  ['kill-registry', withCommonRules(killAndRestart(firstRegistry))],
  ['freeze-primary', withCommonRules(freeze(4000, primaryStore))],
  ['freeze-keeper', withCommonRules(freeze(4000, serviceLeader))],
  ['freeze-edge', withCommonRules(freeze(4000, firstEdge))],
  ['freeze-registry', withCommonRules(freeze(4000, firstRegistry))],
  ['kill-all', withCommonRules(killAllProcesses)],
  ['stop-in-turn', withCommonRules(restartInTurn)],
  ['lose-area', withCommonRules(loseZone)],
  ['isolate-keeper', withCommonRules(isolate(4000, 'both', machineRunning(serviceLeader)))],
  ['isolate-primary', withCommonRules(isolate(4000, 'both', machineRunning(primaryStore)))],
  ['isolate-edge', withCommonRules(isolate(4000, 'both', machineRunning(firstEdge)))],
  ['deaf-keeper', withCommonRules(isolate(4000, 'in', machineRunning(serviceLeader)))],
  ['mute-keeper', withCommonRules(isolate(4000, 'out', machineRunning(serviceLeader)))],
  ['split-core', withCommonRules(isolate(4000, 'both', halfOfCore))],
  ['cut-edges', withCommonRules(isolate(4000, 'both', allEdges))],
  ['flap-keeper', withCommonRules(flapServiceLeader)],
  ['slow-links', withCommonRules(slowLinks)],
  ['full-disk', failingDisk('full')],
  ['stalled-disk', failingDisk('stalled')],
  ['lose-disk', lossAfterConfirmation('disk')],
  ['lose-power', lossAfterConfirmation('power')],
  ['swap-registries', replaceRegistries],
  ['crash-origin', withCommonRules(crashOrigin)],
  ['slow-origin', withCommonRules(originFault({ slowMs: 800 }, { slowMs: 0 }))],
  ['losing-origin', withCommonRules(originFault({ loseShare: 0.5 }, { loseShare: 0 }))],
  ['corrupt-origin', withCommonRules(originFault({ corruptShare: 0.5 }, { corruptShare: 0 }))],
  ['cutting-origin', withCommonRules(originFault({ cutShare: 0.5 }, { cutShare: 0 }))],
  ['replace-origins', withCommonRules(replaceOrigins)],
  ['reuse-address', reuseAddress],
  ['bad-release', withCommonRules(badRelease)],
  ['good-release', goodRelease],
  ['huge-configuration', withCommonRules(hugeConfiguration)],
  ['invalid-configuration', invalidConfiguration],
  ['collide', collidingCommands],
  ['purge-storm', withCommonRules(purgeFlood)],
  ['impatient-callers', impatientClients],
  ['flood', floodingClass],
]);

/** Combines scenarios into one that runs them in sequence on the same fleet; ignores unknown names. */
export const inSequence =
  (names: readonly string[]): FaultScenario =>
  async (context) => {
    const results: RuleResult[] = [];
    for (const name of names) {
      context.print(`-- ${name}`);
      results.push(...((await scenarios.get(name)?.(context)) ?? []));
      await delay(pauseAfterScenarioMs);
    }
    return results;
  };

/** All scenarios by name, with `all` for the whole sequence. */
export const faultScenarios: ReadonlyMap<string, FaultScenario> = new Map([
  ...scenarios,
  ['all', inSequence([...scenarios.keys()])],
]);
