/** Network and disk faults of one process, sent to it by devfleet over its IPC channel. */

import * as v from 'valibot';

/** Environment variable that holds the loopback address of a process's machine. */
export const faultHostVariable = 'DEVFLEET_HOST';

/** Schema of the IPC message; each message replaces all faults set by the previous one. */
export const processFaultsSchema = v.object({
  /** Hosts to which writes are held back, as on a cut link. */
  stalledPeers: v.array(v.string()),
  /** Hosts to which new connections are held back. */
  unreachablePeers: v.array(v.string()),
  /** Delay of each socket write, in milliseconds. */
  lagMs: v.number(),
  disk: v.picklist(['healthy', 'full', 'stalled']),
});

/** Current faults of a process's links and disk. */
export type ProcessFaults = v.InferOutput<typeof processFaultsSchema>;

/** Faults of a healthy process: none. */
export const noFaults: ProcessFaults = {
  stalledPeers: [],
  unreachablePeers: [],
  lagMs: 0,
  disk: 'healthy',
};
