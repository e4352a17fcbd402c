/** The query shell as a library: parse a query, run it over rows, complete a line. */

export { completions } from './query/completions.js';
export { parseQuery } from './query/parse.js';
export { runQuery } from './query/run.js';
export { tables } from './table/tables.js';
