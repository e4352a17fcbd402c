export { parse, run, complete } from './query/query.js';
export { tables } from './table/tables.js';
