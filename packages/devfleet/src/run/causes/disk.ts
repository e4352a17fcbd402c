import { rmSync } from 'node:fs';
import { pause, until } from '../../fleet/fleet.js';
import { patience } from '../stage.js';
import { type Cause, primary, verdict } from './cause.js';
import { apply, generationIn, inForce } from './change.js';

/** Writes go on while the primary's disk takes nothing, and nothing accepted is lost. */
export const ailingDisk =
  (mood: 'full' | 'stalled'): Cause =>
  async (stage) => {
    const { fleet, say } = stage;
    const name = await primary(stage);
    fleet.child(name).set({ disk: mood });
    say(`the disk of ${name} is ${mood}`);
    let taken = 0;
    let last = 0;
    for (let turn = 0; turn < 8; turn += 1) {
      const done = await apply(stage, 'ailing.json', 310 + turn);
      if (done.code === 0) {
        taken += 1;
        last = generationIn(done.out);
      }
      await pause(500);
    }
    fleet.child(name).set({ disk: 'well' });
    const kept = await until(patience, async () => (await inForce(fleet)) >= last);
    return [
      verdict(
        `a ${mood} disk`,
        taken > 0 && kept,
        `${taken} of 8 descriptions accepted meanwhile, the last as generation ${last}, in force after: ${String(kept)}`,
      ),
    ];
  };

/** Loses a store's machine right after a write was confirmed; with its disk, or with what was not yet synced. */
export const lostAfter =
  (loss: 'disk' | 'power'): Cause =>
  async (stage) => {
    const { fleet, say } = stage;
    const name = await primary(stage);
    const done = await apply(stage, 'lost.json', 330);
    const generation = generationIn(done.out);
    const child = fleet.child(name);
    // What is written from now on has not been synced when the power goes.
    if (loss === 'power') {
      child.set({ disk: 'stalled' });
      void apply(stage, 'unsynced.json', 331);
      await pause(100);
    }
    await child.end('SIGKILL');
    if (loss === 'disk') rmSync(fleet.dataOf(name), { recursive: true, force: true });
    child.set({ disk: 'well' });
    say(`${name} lost its ${loss} just after generation ${generation} was confirmed`);
    await pause(1500);
    await child.start();
    const kept = await until(patience, async () => (await inForce(fleet)) >= generation);
    const after = await until(
      patience,
      async () => (await apply(stage, 'after.json', 332)).code === 0,
    );
    return [
      verdict(
        `the ${loss} lost after confirming`,
        done.code === 0 && generation > 0 && kept && after,
        `generation ${generation} kept: ${String(kept)}; written to again: ${String(after)}`,
      ),
    ];
  };
