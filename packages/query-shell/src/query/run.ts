/** Runs the stages of a query over rows. */

import type { Cell, Row } from '../table/table.js';
import type { Condition, Query } from './query.js';

/** Orders cells: numbers by value, all else as text, nothing last. */
const compareCells = (one: Cell, two: Cell): number => {
  if (one === two) return 0;
  if (one === null) return 1;
  if (two === null) return -1;
  if (typeof one === 'number' && typeof two === 'number') return one - two;
  return String(one) < String(two) ? -1 : 1;
};

/** The value of a condition as the type of the cell that it is compared with; `-` stands for nothing. */
const goalFor = (cell: Cell, value: string): Cell => {
  if (typeof cell === 'number' && value !== '' && !Number.isNaN(Number(value)))
    return Number(value);
  if (typeof cell === 'boolean') return value === 'true';
  return value === '-' ? null : value;
};

const matches = (row: Row, { column, operator, value }: Condition): boolean => {
  const cell = row.get(column) ?? null;
  const goal = goalFor(cell, value);
  switch (operator) {
    case '=':
      return compareCells(cell, goal) === 0;
    case '!=':
      return compareCells(cell, goal) !== 0;
    case '~':
      return String(cell ?? '').includes(value);
    case '<':
      return cell !== null && compareCells(cell, goal) < 0;
    case '>':
      return cell !== null && compareCells(cell, goal) > 0;
    case '<=':
      return cell !== null && compareCells(cell, goal) <= 0;
    case '>=':
      return cell !== null && compareCells(cell, goal) >= 0;
  }
};

const countBy = (rows: readonly Row[], by: readonly string[]): readonly Row[] => {
  const groups = new Map<
    string,
    { readonly cells: readonly (readonly [string, Cell])[]; count: number }
  >();
  for (const row of rows) {
    const cells = by.map((name) => [name, row.get(name) ?? null] as const);
    const key = JSON.stringify(cells);
    const group = groups.get(key) ?? { cells, count: 0 };
    group.count += 1;
    groups.set(key, group);
  }
  if (by.length === 0) return [new Map<string, Cell>([['count', rows.length]])];
  return [...groups.values()].map(
    (one) => new Map<string, Cell>([...one.cells, ['count', one.count]]),
  );
};

/** Runs the stages of a query over the rows of its table. */
export const runQuery = (query: Query, rows: readonly Row[]): readonly Row[] =>
  query.stages.reduce<readonly Row[]>((list, stage) => {
    switch (stage.stage) {
      case 'where':
        return list.filter((row) => stage.conditions.every((test) => matches(row, test)));
      case 'select':
        return list.map(
          (row) => new Map(stage.columns.map((name) => [name, row.get(name) ?? null])),
        );
      case 'sort':
        return [...list].sort(
          (one, two) =>
            compareCells(one.get(stage.column) ?? null, two.get(stage.column) ?? null) *
            (stage.isDescending ? -1 : 1),
        );
      case 'count':
        return countBy(list, stage.by);
      case 'limit':
        return list.slice(0, stage.maxRows);
    }
  }, rows);
