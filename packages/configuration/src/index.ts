/**
 * Configurations: the operators' document, its validation and chunks, its compiled form, the
 * control state that stores it, and the rollout of configuration generations and of releases.
 * All functions are pure; storing, sending and applying belong to other packages.
 */

export * from './document/schema.js';
export * from './document/validation-issue.js';
export * from './document/chunks.js';
export * from './compiled/compiled-configuration.js';
export * from './compiled/match-route.js';
export * from './compiled/compile.js';
export * from './release/settings.js';
export * from './release/release-rollout.js';
export * from './release/canary-counts.js';
export * from './release/canary-analysis.js';
export * from './release/rollout-controller.js';
export * from './release/pick-release.js';
export * from './control-state/control-state.js';
export * from './rollout/planner.js';
export * from './rollout/progress.js';
