/** Scenarios of store disks that fill up, stall or are lost. */

import { rmSync } from 'node:fs';
import { generationInForce } from '../fleet-view.js';
import { delay, waitUntil } from '../../fleet/wait.js';
import { stepTimeoutMs } from '../fleet-setup.js';
import { untimedResult } from '../../report/report.js';
import { type FaultScenario, primaryStore } from './scenario.js';
import { applyChange, generationIn } from './configuration-change.js';

/** How many changes are submitted while the disk fails. */
const changeCount = 8;

/** The primary's disk accepts no writes for a while: writes go on, and nothing accepted is lost. */
export const failingDisk =
  (diskState: 'full' | 'stalled'): FaultScenario =>
  async (context) => {
    const { fleet, print } = context;
    const name = await primaryStore(context);
    fleet.process(name).setFaults({ disk: diskState });
    print(`the disk of ${name} is ${diskState}`);
    let acceptedCount = 0;
    let lastGeneration = 0;
    for (let turn = 0; turn < changeCount; turn += 1) {
      const reply = await applyChange(context, 'ailing.json', 310 + turn);
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
        `a ${diskState} disk`,
        acceptedCount > 0 && isKept,
        `${acceptedCount} of ${changeCount} descriptions accepted meanwhile, the last as generation ${lastGeneration}, in force after: ${String(isKept)}`,
      ),
    ];
  };

/** The primary loses its disk, or what was not yet synced, right after a write was confirmed. */
export const lossAfterConfirmation =
  (loss: 'disk' | 'power'): FaultScenario =>
  async (context) => {
    const { fleet, print } = context;
    const name = await primaryStore(context);
    const reply = await applyChange(context, 'lost.json', 330);
    const generation = generationIn(reply.stdout);
    const process = fleet.process(name);
    // What is written from now on has not been synced when the power goes.
    if (loss === 'power') {
      process.setFaults({ disk: 'stalled' });
      void applyChange(context, 'unsynced.json', 331);
      await delay(100);
    }
    await process.stop('SIGKILL');
    if (loss === 'disk') rmSync(fleet.dataFolder(name), { recursive: true, force: true });
    process.setFaults({ disk: 'healthy' });
    print(`${name} lost its ${loss} just after generation ${generation} was confirmed`);
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
        `the ${loss} lost after confirming`,
        reply.exitCode === 0 && generation > 0 && isKept && isWritable,
        `generation ${generation} kept: ${String(isKept)}; written to again: ${String(isWritable)}`,
      ),
    ];
  };
