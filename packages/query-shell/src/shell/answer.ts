/** Answers one query: collects a snapshot of the fleet, runs the query, formats the result. */

import { type Result, err, ok } from 'true-myth/result';
import type { Address } from '@switchwheel/types';
import { collectSnapshot } from '../snapshot/collect.js';
import { parseQuery } from '../query/parse.js';
import type { Query } from '../query/query.js';
import { runQuery } from '../query/run.js';
import { tables } from '../table/tables.js';
import { formatFreshness, formatRows, toJson } from './format.js';

/** Which registries a query starts from, and how long each process may take to answer. */
export interface QueryTarget {
  readonly registries: readonly Address[];
  readonly timeoutMs: number;
  readonly asJson: boolean;
}

/** The printed result of a query, and whether any registry answered. */
export interface QueryOutput {
  readonly text: string;
  readonly hasAnswer: boolean;
}

/** Runs a query against the fleet as it is now. */
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
  return { text, hasAnswer: snapshot.fleets.length > 0 };
};

/** Parses a query; the error is a text for people with a mark under the mistake. */
export const readQuery = (line: string): Result<Query, string> => {
  const parsed = parseQuery(line);
  return parsed.isOk
    ? ok(parsed.value)
    : err(`wrong query\n${line}\n${' '.repeat(parsed.error.offset)}^ ${parsed.error.text}`);
};

/** The language of queries and the tables with their columns. */
export const helpText = `A query is a table, then stages behind bars:

  nodes                                                  every node
  nodes | where role = edge and ready = false            edges that take nobody
  nodes | where generation < 7 | select node area why    who is behind, and why
  nodes | count by area role                             how many where
  duties | sort left                                     leases that end soonest
  targets | where status = failed | sort generation desc
  origins | where passed > 0                             origins passed over now
  classes | where loan > 0                               who runs on borrowed slots
  services | select service keeper waiting extra10s | follow 2s

Tests: = != < > <= >= and ~ (contains); "-" stands for nothing. Tables:

${[...tables].map(([name, table]) => `  ${name.padEnd(12)} ${table.summary}\n  ${''.padEnd(12)} ${table.columns.join(' ')}`).join('\n')}

help, quit.`;
