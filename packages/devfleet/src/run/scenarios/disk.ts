/** Fault scenarios of store disks that fill up, stall or are lost. */

import { rmSync } from 'node:fs';
import { generationInForce } from '../fleet-view.js';
import { delay, waitUntil } from '../../fleet/wait.js';
import { stepTimeoutMs } from '../fleet-setup.js';
import { untimedResult } from '../../report/report.js';
import { type FaultScenario, primaryStore } from './scenario.js';
import { applyChange, generationIn } from './configuration-change.js';

/** Number of changes submitted during the disk fault. */
const changeCount = 8;

/** The primary's disk accepts no writes for a time: changes must still be accepted, and no accepted one lost. */
export const failingDisk =
  (diskState: 'full' | 'stalled'): FaultScenario =>
  async (context) => {
    const { fleet, print } = context;
    const name = await primaryStore(context);
    fleet.process(name).setFaults({ disk: diskState });
    print(`injected a ${diskState} disk at ${name}`);
    let acceptedCount = 0;
    let lastGeneration = 0;
    for (let index = 0; index < changeCount; index += 1) {
      const reply = await applyChange(context, 'disk-fault.json', 310 + index);
      if (reply.exitCode === 0) {
        acceptedCount += 1;
        lastGeneration = generationIn(reply.stdout);
      }
      await delay(500);
    }
    fleet.process(name).setFaults({ disk: 'healthy' });
    const isKept = await waitUntil(
      stepTimeoutMs,
      async () => (await generationInForce(fleet)) >= lastGeneration,
    );
    return [
      untimedResult(
        `accepted changes survive a ${diskState} disk`,
        acceptedCount > 0 && isKept,
        `${acceptedCount} of ${changeCount} changes accepted during the fault, the last as generation ${lastGeneration}; in force afterwards: ${String(isKept)}`,
      ),
    ];
  };

/** The primary loses its disk, or its unsynced writes, right after it confirmed a change. */
export const lossAfterConfirmation =
  (loss: 'disk' | 'power'): FaultScenario =>
  async (context) => {
    const { fleet, print } = context;
    const name = await primaryStore(context);
    const reply = await applyChange(context, 'confirmed.json', 330);
    const generation = generationIn(reply.stdout);
    const process = fleet.process(name);
    // Writes from here on are unsynced when the power fails.
    if (loss === 'power') {
      process.setFaults({ disk: 'stalled' });
      void applyChange(context, 'unsynced.json', 331);
      await delay(100);
    }
    await process.stop('SIGKILL');
    if (loss === 'disk') rmSync(fleet.dataFolder(name), { recursive: true, force: true });
    process.setFaults({ disk: 'healthy' });
    print(`${name} lost its ${loss} after it confirmed generation ${generation}`);
    await delay(1500);
    await process.start();
    const isKept = await waitUntil(
      stepTimeoutMs,
      async () => (await generationInForce(fleet)) >= generation,
    );
    const isWritable = await waitUntil(
      stepTimeoutMs,
      async () => (await applyChange(context, 'after.json', 332)).exitCode === 0,
    );
    return [
      untimedResult(
        `a confirmed change survives the loss of ${loss}`,
        reply.exitCode === 0 && generation > 0 && isKept && isWritable,
        `generation ${generation} in force: ${String(isKept)}; a later change accepted: ${String(isWritable)}`,
      ),
    ];
  };
