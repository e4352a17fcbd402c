/** Output formats of query results: a table, or JSON. */

import { formatColumns } from '@switchwheel/types';
import type { FleetSnapshot } from '../snapshot/collect.js';
import type { Row } from '../table/table.js';

const cellText = (cell: string | number | boolean | null | undefined): string =>
  cell === null || cell === undefined || cell === '' ? '-' : String(cell);

/** Formats rows as a table under column titles; `-` is an empty cell. */
export const formatRows = (rows: readonly Row[]): string => {
  const titles = [...(rows[0]?.keys() ?? [])];
  if (titles.length === 0) return '(no rows)';
  const lines = [titles, ...rows.map((row) => titles.map((title) => cellText(row.get(title))))];
  return formatColumns(lines);
};

/** Formats the age of a result, and the processes and parts that are missing from it. */
export const formatFreshness = (snapshot: FleetSnapshot, rowCount: number): string =>
  [
    `${rowCount} rows; ${snapshot.fleets.length} registries responded, oldest update from the primary ${Math.round(snapshot.ageMs)} ms ago`,
    ...(snapshot.unresponsive.length > 0
      ? [`no response from: ${snapshot.unresponsive.join(', ')}`]
      : []),
    ...(snapshot.missing.length > 0 ? [`missing: ${snapshot.missing.join(', ')}`] : []),
  ].join('\n');

/** Formats a result as one JSON object on one line. */
export const toJson = (rows: readonly Row[], snapshot: FleetSnapshot): string =>
  JSON.stringify({
    rows: rows.map((row) => Object.fromEntries(row)),
    registries: snapshot.fleets.length,
    oldestMs: Math.round(snapshot.ageMs),
    silent: snapshot.unresponsive,
    missing: snapshot.missing,
  });
