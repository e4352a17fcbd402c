/** Library of the query shell: parsing, execution over rows and completion of queries. */

export { completions } from './query/completions.js';
export { parseQuery } from './query/parse.js';
export { runQuery } from './query/run.js';
export { tables } from './table/tables.js';
