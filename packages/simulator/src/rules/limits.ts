/** Limits that several rules share. */

/** "About two seconds", with a little for the simulated network. */
export const propagationLimitMs = 2200;
