import { rmSync } from 'node:fs';
import { delay, waitUntil } from '../../fleet/fleet.js';
import { stepTimeoutMs } from '../fleet-setup.js';
import { type FaultScenario, primaryStore, untimedResult } from './scenario.js';
import { applyChange, generationIn, generationInForce } from './configuration-change.js';

/** Writes go on while the primary's disk takes nothing, and nothing accepted is lost. */
export const failingDisk =
  (diskState: 'full' | 'stalled'): FaultScenario =>
  async (stage) => {
    const { fleet, print } = stage;
    const name = await primaryStore(stage);
    fleet.process(name).setFaults({ disk: diskState });
    print(`the disk of ${name} is ${diskState}`);
    let taken = 0;
    let last = 0;
    for (let turn = 0; turn < 8; turn += 1) {
      const done = await applyChange(stage, 'ailing.json', 310 + turn);
      if (done.exitCode === 0) {
        taken += 1;
        last = generationIn(done.stdout);
      }
      await delay(500);
    }
    fleet.process(name).setFaults({ disk: 'well' });
    const kept = await waitUntil(
      stepTimeoutMs,
      async () => (await generationInForce(fleet)) >= last,
    );
    return [
      untimedResult(
        `a ${diskState} disk`,
        taken > 0 && kept,
        `${taken} of 8 descriptions accepted meanwhile, the last as generation ${last}, in force after: ${String(kept)}`,
      ),
    ];
  };

/** Loses a store's machine right after a write was confirmed; with its disk, or with what was not yet synced. */
export const lossAfterConfirmation =
  (loss: 'disk' | 'power'): FaultScenario =>
  async (stage) => {
    const { fleet, print } = stage;
    const name = await primaryStore(stage);
    const done = await applyChange(stage, 'lost.json', 330);
    const generation = generationIn(done.stdout);
    const child = fleet.process(name);
    // What is written from now on has not been synced when the power goes.
    if (loss === 'power') {
      child.setFaults({ disk: 'stalled' });
      void applyChange(stage, 'unsynced.json', 331);
      await delay(100);
    }
    await child.stop('SIGKILL');
    if (loss === 'disk') rmSync(fleet.dataFolder(name), { recursive: true, force: true });
    child.setFaults({ disk: 'well' });
    print(`${name} lost its ${loss} just after generation ${generation} was confirmed`);
    await delay(1500);
    await child.start();
    const kept = await waitUntil(
      stepTimeoutMs,
      async () => (await generationInForce(fleet)) >= generation,
    );
    const after = await waitUntil(
      stepTimeoutMs,
      async () => (await applyChange(stage, 'after.json', 332)).exitCode === 0,
    );
    return [
      untimedResult(
        `the ${loss} lost after confirming`,
        done.exitCode === 0 && generation > 0 && kept && after,
        `generation ${generation} kept: ${String(kept)}; written to again: ${String(after)}`,
      ),
    ];
  };
