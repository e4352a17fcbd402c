export { schema, program } from './boot/boot.js';
export { type DirectBoot, startDirect } from './direct/program.js';
