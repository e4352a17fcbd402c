/**
 * Leader election by majority vote: voters (registries) grant leases, candidates (stores, shields) acquire,
 * renew and release them. Pure reducers over vote frames. The packages that use this one decide which node
 * is a candidate for which lease and what a lease holder does.
 */

export * from './voter/voter.js';
export * from './voter/recovery.js';
export * from './candidate/candidate.js';
export * from './candidate/vote-count.js';
export * from './candidate/campaign.js';
