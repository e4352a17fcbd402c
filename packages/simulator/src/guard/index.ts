export { type Copy, copyBuilt, faultOf, takeOut } from './copy.js';
export type { Guard } from './list.js';
