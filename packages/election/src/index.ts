export * from './voter/voter.js';
export * from './candidate/candidate.js';
