export { runCommand } from './command/run.js';
