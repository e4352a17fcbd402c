/** Execution of queries. */

import type { Cell, Row } from '../table/table.js';
import type { Condition, Query } from './query.js';

/** Orders two numbers by value and other cells as text; empty cells come last. */
const compareCells = (left: Cell, right: Cell): number => {
  if (left === right) return 0;
  if (left === null) return 1;
  if (right === null) return -1;
  if (typeof left === 'number' && typeof right === 'number') return left - right;
  return String(left) < String(right) ? -1 : 1;
};

/** Converts the value of a condition to the type of the cell that it is compared with; `-` is an empty cell. */
const operandFor = (cell: Cell, value: string): Cell => {
  if (typeof cell === 'number' && value !== '' && !Number.isNaN(Number(value)))
    return Number(value);
  if (typeof cell === 'boolean') return value === 'true';
  return value === '-' ? null : value;
};

const matches = (row: Row, { column, operator, value }: Condition): boolean => {
  const cell = row.get(column) ?? null;
  const operand = operandFor(cell, value);
  switch (operator) {
    case '=':
      return compareCells(cell, operand) === 0;
    case '!=':
      return compareCells(cell, operand) !== 0;
    case '~':
      return String(cell ?? '').includes(value);
    case '<':
      return cell !== null && compareCells(cell, operand) < 0;
    case '>':
      return cell !== null && compareCells(cell, operand) > 0;
    case '<=':
      return cell !== null && compareCells(cell, operand) <= 0;
    case '>=':
      return cell !== null && compareCells(cell, operand) >= 0;
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
    (group) => new Map<string, Cell>([...group.cells, ['count', group.count]]),
  );
};

/** Applies the stages of a query in order to the rows of its table. */
export const runQuery = (query: Query, rows: readonly Row[]): readonly Row[] =>
  query.stages.reduce<readonly Row[]>((stageRows, stage) => {
    switch (stage.stage) {
      case 'where':
        return stageRows.filter((row) =>
          stage.conditions.every((condition) => matches(row, condition)),
        );
      case 'select':
        return stageRows.map(
          (row) => new Map(stage.columns.map((name) => [name, row.get(name) ?? null])),
        );
      case 'sort':
        return [...stageRows].sort(
          (left, right) =>
            compareCells(left.get(stage.column) ?? null, right.get(stage.column) ?? null) *
            (stage.isDescending ? -1 : 1),
        );
      case 'count':
        return countBy(stageRows, stage.by);
      case 'limit':
        return stageRows.slice(0, stage.maxRows);
    }
  }, rows);
