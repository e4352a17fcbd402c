/** What a table of the shell is, and how its rows are made. */

import type { FleetSnapshot } from '../snapshot/collect.js';

/** One value of a row; `null` where nothing is known. */
export type Cell = string | number | boolean | null;

/** Cells by the name of their column, in the order of the columns. */
export type Row = ReadonlyMap<string, Cell>;

/** Parts of a snapshot that are collected only for the tables that need them. */
export type SnapshotSource =
  'edges' | 'keepers' | 'nodes' | 'purges' | 'rollouts' | 'store' | 'verdicts';

/** One table that can be queried. */
export interface Table {
  /** One line for the help text. */
  readonly summary: string;
  readonly columns: readonly string[];
  /** What must be collected beside the registries' own state. */
  readonly sources: readonly SnapshotSource[];
  readonly rows: (snapshot: FleetSnapshot) => readonly Row[];
}

/** A row from its cells; a cell without a value is `null`. */
export const row = (...cells: readonly (readonly [string, Cell | undefined])[]): Row =>
  new Map(cells.map(([name, cell]) => [name, cell ?? null]));

/** The sum of a list of numbers. */
export const sum = (list: readonly number[]): number =>
  list.reduce((total, value) => total + value, 0);
