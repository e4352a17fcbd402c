/**
 * Leases by majority vote: the voters (registries) that grant them and the candidates (stores, shields)
 * that win, renew and give them up. Pure reducers over vote frames; who wants which lease, and what its
 * holder does, is decided by the packages that use this one.
 */

export * from './voter/voter.js';
export * from './voter/recovery.js';
export * from './candidate/candidate.js';
export * from './candidate/vote-count.js';
export * from './candidate/campaign.js';
