/** Definition of the tables of the shell, and helpers for their rows. */

import type { FleetSnapshot } from '../snapshot/collect.js';

/** Value in a row; `null` if it is unknown. */
export type Cell = string | number | boolean | null;

/** Cells by column, in the order of the columns. */
export type Row = ReadonlyMap<string, Cell>;

/** Parts of a snapshot that are collected only for the tables that need them. */
export type SnapshotSource =
  'edges' | 'serviceLeaders' | 'nodes' | 'purges' | 'rollouts' | 'store' | 'verdicts';

/** Table that can be queried. */
export interface Table {
  /** Line in the help text. */
  readonly summary: string;
  readonly columns: readonly string[];
  /** Parts of the snapshot that the table needs in addition to the registries' own state. */
  readonly sources: readonly SnapshotSource[];
  readonly rows: (snapshot: FleetSnapshot) => readonly Row[];
}

/** Builds a row from its cells; undefined becomes `null`. */
export const row = (...cells: readonly (readonly [string, Cell | undefined])[]): Row =>
  new Map(cells.map(([name, cell]) => [name, cell ?? null]));

/** Returns the sum of the numbers; 0 if there are none. */
export const sum = (numbers: readonly number[]): number =>
  numbers.reduce((total, value) => total + value, 0);
