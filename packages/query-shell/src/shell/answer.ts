import { type Result, err, ok } from 'true-myth/result';
import type { Address } from '@switchwheel/types';
import { collectSnapshot } from '../snapshot/collect.js';
import { type Query, parseQuery, runQuery } from '../query/query.js';
import { tables } from '../table/tables.js';
import { formatFreshness, formatRows, toJson } from './format.js';

export interface QueryTarget {
  readonly registries: readonly Address[];
  readonly timeoutMs: number;
  readonly asJson: boolean;
}

/** What one asking came to: the text, and whether anything answered at all. */
export interface QueryOutput {
  readonly text: string;
  readonly hasAnswer: boolean;
}

export const answerQuery = async (query: Query, target: QueryTarget): Promise<QueryOutput> => {
  const table = tables.get(query.table);
  const words = await collectSnapshot(
    target.registries,
    new Set(table?.sources ?? []),
    target.timeoutMs,
  );
  const rows = runQuery(query, table?.rows(words) ?? []);
  const text = target.asJson
    ? toJson(rows, words)
    : `${formatRows(rows)}\n${formatFreshness(words, rows.length)}`;
  return { text, hasAnswer: words.fleets.length > 0 };
};

/** Reads a query; a wrong one is shown with a mark under the place. */
export const readQuery = (line: string): Result<Query, string> => {
  const parsed = parseQuery(line);
  return parsed.isOk
    ? ok(parsed.value)
    : err(`wrong query\n${line}\n${' '.repeat(parsed.error.offset)}^ ${parsed.error.text}`);
};

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
