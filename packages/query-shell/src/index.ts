export { parseQuery, runQuery, completions } from './query/query.js';
export { tables } from './table/tables.js';
