/** The operators' command line of switchwheel, as a function. */

export { runCommand } from './command/run.js';
