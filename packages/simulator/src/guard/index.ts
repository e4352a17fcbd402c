/** Removal of guards from built code, as the model checker uses it for seeded bugs. */

export { type BuiltCopy, copyBuilt, guardError, removeGuard } from './built-copy.js';
export type { Guard } from './list.js';
