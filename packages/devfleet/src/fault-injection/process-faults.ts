import * as v from 'valibot';

/** What is wrong with a process's way to others, and with its disk, as its development fleet tells it. */
export const processFaultsSchema = v.object({
  /** Machines to which nothing gets through: what is sent waits, as on a line that lost its far end. */
  hold: v.array(v.string()),
  /** Machines with which no new channel comes up. */
  bar: v.array(v.string()),
  /** How long everything that is sent takes longer. */
  lagMs: v.number(),
  disk: v.picklist(['well', 'full', 'stalled']),
});
export type ProcessFaults = v.InferOutput<typeof processFaultsSchema>;
export const noFaults: ProcessFaults = { hold: [], bar: [], lagMs: 0, disk: 'well' };
