/** Commands of the operators' command line, callable as a function. */

export { runCommand } from './command/run.js';
