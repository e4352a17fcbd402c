/** Parsed form of a query. */

/** Mistake in a query; the text can include a suggestion. */
export interface QueryError {
  /** Offset of the mistake in the text of the query. */
  readonly offset: number;
  readonly text: string;
}

/** Comparison of a cell with a value; `~` tests whether the cell contains the value. */
export type Operator = '=' | '!=' | '<' | '>' | '<=' | '>=' | '~';

/** Condition of a `where` stage. */
export interface Condition {
  readonly column: string;
  readonly operator: Operator;
  readonly value: string;
}

/** Transformation of the rows of a query. */
export type Stage =
  | { readonly stage: 'where'; readonly conditions: readonly Condition[] }
  | { readonly stage: 'select'; readonly columns: readonly string[] }
  | { readonly stage: 'sort'; readonly column: string; readonly isDescending: boolean }
  | { readonly stage: 'count'; readonly by: readonly string[] }
  | { readonly stage: 'limit'; readonly maxRows: number };

/** Names of all stages in the syntax of queries, including `follow`. */
export const stageNames = ['where', 'select', 'sort', 'count', 'limit', 'follow'] as const;

/** Query over one table, with its stages in order. */
export interface Query {
  readonly table: string;
  readonly stages: readonly Stage[];
  /** Pause between runs; undefined for a query that is run once. */
  readonly followMs: number | undefined;
}
