import type { Verdict } from '../report/report.js';
import { pause } from '../fleet/fleet.js';
import { flood, impatient } from './causes/caller.js';
import { type Cause, edge, keeper, plain, primary, registry } from './causes/cause.js';
import { ailingDisk, lostAfter } from './causes/disk.js';
import { allEdges, flap, halfCore, isolated, machineOf, slowLinks } from './causes/network.js';
import { collide, hugeConfiguration, invalid, purgeStorm } from './causes/operator.js';
import {
  badRelease,
  crashOrigin,
  goodRelease,
  mood,
  reuseAddress,
  rollingReplace,
} from './causes/origin.js';
import {
  freezeFor,
  killAll,
  killAndBack,
  loseArea,
  stopInTurn,
  swapRegistries,
} from './causes/process.js';

/** Failures by the name they are asked for by. */
const single: ReadonlyMap<string, Cause> = new Map<string, Cause>([
  ['none', plain(() => pause(5000))],
  ['kill-primary', plain(killAndBack(primary))],
  ['kill-keeper', plain(killAndBack(keeper))],
  ['kill-edge', plain(killAndBack(edge))],
  ['kill-registry', plain(killAndBack(registry))],
  ['freeze-primary', plain(freezeFor(4000, primary))],
  ['freeze-keeper', plain(freezeFor(4000, keeper))],
  ['freeze-edge', plain(freezeFor(4000, edge))],
  ['freeze-registry', plain(freezeFor(4000, registry))],
  ['kill-all', plain(killAll)],
  ['stop-in-turn', plain(stopInTurn)],
  ['lose-area', plain(loseArea)],
  ['isolate-keeper', plain(isolated(4000, 'both', machineOf(keeper)))],
  ['isolate-primary', plain(isolated(4000, 'both', machineOf(primary)))],
  ['isolate-edge', plain(isolated(4000, 'both', machineOf(edge)))],
  ['deaf-keeper', plain(isolated(4000, 'in', machineOf(keeper)))],
  ['mute-keeper', plain(isolated(4000, 'out', machineOf(keeper)))],
  ['split-core', plain(isolated(4000, 'both', halfCore))],
  ['cut-edges', plain(isolated(4000, 'both', allEdges))],
  ['flap-keeper', plain(flap)],
  ['slow-links', plain(slowLinks)],
  ['full-disk', ailingDisk('full')],
  ['stalled-disk', ailingDisk('stalled')],
  ['lose-disk', lostAfter('disk')],
  ['lose-power', lostAfter('power')],
  ['swap-registries', swapRegistries],
  ['crash-origin', plain(crashOrigin)],
  ['slow-origin', plain(mood({ slowMs: 800 }, { slowMs: 0 }))],
  ['losing-origin', plain(mood({ loseShare: 0.5 }, { loseShare: 0 }))],
  ['corrupt-origin', plain(mood({ corruptShare: 0.5 }, { corruptShare: 0 }))],
  ['cutting-origin', plain(mood({ cutShare: 0.5 }, { cutShare: 0 }))],
  ['replace-origins', plain(rollingReplace)],
  ['reuse-address', reuseAddress],
  ['bad-release', plain(badRelease)],
  ['good-release', goodRelease],
  ['huge-configuration', plain(hugeConfiguration)],
  ['invalid-configuration', invalid],
  ['collide', collide],
  ['purge-storm', plain(purgeStorm)],
  ['impatient-callers', impatient],
  ['flood', flood],
]);

/** Causes one after the other, on one fleet. */
export const inRow =
  (names: readonly string[]): Cause =>
  async (stage) => {
    const all: Verdict[] = [];
    for (const name of names) {
      stage.say(`-- ${name}`);
      all.push(...((await single.get(name)?.(stage)) ?? []));
      await pause(2000);
    }
    return all;
  };

export const causes: ReadonlyMap<string, Cause> = new Map([
  ...single,
  ['all', inRow([...single.keys()])],
]);
