/** Import of nginx configurations: parses the files and converts them to a configuration of this system. */

export * from './nginx/parse.js';
export * from './nginx/convert.js';
