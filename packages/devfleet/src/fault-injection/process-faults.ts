/** The faults of one process's network and disk, as devfleet sends them to it over its IPC channel. */

import * as v from 'valibot';

/** The environment variable that tells a process the loopback address of its machine. */
export const faultHostVariable = 'DEVFLEET_HOST';

/** The form of the IPC message; each message replaces the faults of the one before. */
export const processFaultsSchema = v.object({
  /** Hosts to which nothing gets through: what is sent waits, as on a link that was cut. */
  stalledPeers: v.array(v.string()),
  /** Hosts to which no new connection is set up. */
  unreachablePeers: v.array(v.string()),
  /** The delay of everything that is sent. */
  lagMs: v.number(),
  disk: v.picklist(['healthy', 'full', 'stalled']),
});

/** What is wrong with a process's links and disk. */
export type ProcessFaults = v.InferOutput<typeof processFaultsSchema>;

/** A process with which nothing is wrong. */
export const noFaults: ProcessFaults = {
  stalledPeers: [],
  unreachablePeers: [],
  lagMs: 0,
  disk: 'healthy',
};
