/** Execution of one query: collects a snapshot of the fleet, runs the query and formats the result. */

import { type Result, err, ok } from 'true-myth/result';
import type { Address } from '@switchwheel/types';
import { collectSnapshot } from '../snapshot/collect.js';
import { parseQuery } from '../query/parse.js';
import type { Query } from '../query/query.js';
import { runQuery } from '../query/run.js';
import { tables } from '../table/tables.js';
import { formatFreshness, formatRows, toJson } from './format.js';

/** Registries that a query starts from, time limit for each process, and output format. */
export interface QueryTarget {
  readonly registries: readonly Address[];
  readonly timeoutMs: number;
  readonly asJson: boolean;
}

/** Formatted result of a query; `hasResponse` is whether any registry responded. */
export interface QueryOutput {
  readonly text: string;
  readonly hasResponse: boolean;
}

/** Runs a query on the current state of the fleet. */
export const answerQuery = async (query: Query, target: QueryTarget): Promise<QueryOutput> => {
  const table = tables.get(query.table);
  const snapshot = await collectSnapshot(
    target.registries,
    new Set(table?.sources ?? []),
    target.timeoutMs,
  );
  const rows = runQuery(query, table?.rows(snapshot) ?? []);
  const text = target.asJson
    ? toJson(rows, snapshot)
    : `${formatRows(rows)}\n${formatFreshness(snapshot, rows.length)}`;
  return { text, hasResponse: snapshot.fleets.length > 0 };
};

/** Parses a query; the error is a message for the operator with a mark under the mistake. */
export const readQuery = (line: string): Result<Query, string> => {
  const parsed = parseQuery(line);
  return parsed.isOk
    ? ok(parsed.value)
    : err(`invalid query\n${line}\n${' '.repeat(parsed.error.offset)}^ ${parsed.error.text}`);
};

/** Description of the query language, and of the tables with their columns. */
export const helpText = `A query is the name of a table, then any number of stages after "|":

  nodes                                                  all nodes
  nodes | where role = edge and ready = false            edges that accept no requests
  nodes | where generation < 7 | select node area why    nodes on an older generation, with the reason
  nodes | count by area role                             number of nodes by zone and role
  duties | sort left                                     leases, the first to expire on top
  targets | where status = failed | sort generation desc
  origins | where passed > 0                             ejected origins
  classes | where loan > 0                               classes that use slots beyond their share
  services | select service keeper waiting extra10s | follow 2s

Operators: = != < > <= >= and ~ (contains); "-" is an empty cell. Tables:

${[...tables].map(([name, table]) => `  ${name.padEnd(12)} ${table.summary}\n  ${''.padEnd(12)} ${table.columns.join(' ')}`).join('\n')}

Commands of the shell: help, quit.`;
