/** What the model checker shares of the hunt for guards that no test misses. */

export { type BuiltCopy, copyBuilt, guardError, removeGuard } from './built-copy.js';
export type { Guard } from './list.js';
