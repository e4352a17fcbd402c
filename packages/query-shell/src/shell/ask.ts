import { type Result, err, ok } from 'true-myth/result';
import type { Address } from '@switchwheel/types';
import { gather } from '../gather/gather.js';
import { type Query, parse, run } from '../query/query.js';
import { tables } from '../table/tables.js';
import { printFresh, printRows, toJson } from './print.js';

export interface Reach {
  readonly registries: readonly Address[];
  readonly spanMs: number;
  readonly json: boolean;
}

/** What one asking came to: the text, and whether anything answered at all. */
export interface Shown {
  readonly text: string;
  readonly answered: boolean;
}

export const show = async (query: Query, reach: Reach): Promise<Shown> => {
  const table = tables.get(query.table);
  const words = await gather(reach.registries, new Set(table?.wants ?? []), reach.spanMs);
  const rows = run(query, table?.rows(words) ?? []);
  const text = reach.json
    ? toJson(rows, words)
    : `${printRows(rows)}\n${printFresh(words, rows.length)}`;
  return { text, answered: words.fleets.length > 0 };
};

/** Reads a query; a wrong one is shown with a mark under the place. */
export const readQuery = (line: string): Result<Query, string> => {
  const parsed = parse(line);
  return parsed.isOk
    ? ok(parsed.value)
    : err(`wrong query\n${line}\n${' '.repeat(parsed.error.at)}^ ${parsed.error.text}`);
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

${[...tables].map(([name, table]) => `  ${name.padEnd(12)} ${table.about}\n  ${''.padEnd(12)} ${table.columns.join(' ')}`).join('\n')}

help, quit.`;
