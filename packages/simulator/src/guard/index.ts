export { type BuiltCopy, copyBuilt, guardError, removeGuard } from './built-copy.js';
export type { Guard } from './list.js';
