/** Limits that several rules share. */

/** Time for a change to reach all nodes: 2 s, plus a margin for network latency. */
export const propagationLimitMs = 2200;
