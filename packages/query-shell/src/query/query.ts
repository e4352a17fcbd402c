/** A query as data: what parsing gives and running takes. */

/** Where a query is wrong, and what may have been meant. */
export interface QueryError {
  /** The offset in the text of the query. */
  readonly offset: number;
  readonly text: string;
}

/** How a condition compares a cell; `~` is "contains". */
export type Operator = '=' | '!=' | '<' | '>' | '<=' | '>=' | '~';

/** One test of `where`. */
export interface Condition {
  readonly column: string;
  readonly operator: Operator;
  readonly value: string;
}

/** One step that a query takes its rows through. */
export type Stage =
  | { readonly stage: 'where'; readonly conditions: readonly Condition[] }
  | { readonly stage: 'select'; readonly columns: readonly string[] }
  | { readonly stage: 'sort'; readonly column: string; readonly isDescending: boolean }
  | { readonly stage: 'count'; readonly by: readonly string[] }
  | { readonly stage: 'limit'; readonly maxRows: number };

/** The names of stages, as a query writes them. */
export const stageNames = ['where', 'select', 'sort', 'count', 'limit', 'follow'] as const;

/** A query: one table, stages in order, and how often it is run again. */
export interface Query {
  readonly table: string;
  readonly stages: readonly Stage[];
  /** The pause between runs; undefined for a query that is run once. */
  readonly followMs: number | undefined;
}
