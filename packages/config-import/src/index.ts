/** Imports nginx configurations: reading them, and converting them to a configuration of this system. */

export * from './nginx/parse.js';
export * from './nginx/convert.js';
