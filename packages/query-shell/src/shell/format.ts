/** Formats the result of a query as a table for people or as JSON. */

import { formatColumns } from '@switchwheel/types';
import type { FleetSnapshot } from '../snapshot/collect.js';
import type { Row } from '../table/table.js';

const cellText = (raw: string | number | boolean | null | undefined): string =>
  raw === null || raw === undefined || raw === '' ? '-' : String(raw);

/** Rows under headings; `-` stands for nothing. */
export const formatRows = (rows: readonly Row[]): string => {
  const heads = [...(rows[0]?.keys() ?? [])];
  if (heads.length === 0) return '(no rows)';
  const lines = [heads, ...rows.map((row) => heads.map((head) => cellText(row.get(head))))];
  return formatColumns(lines);
};

/** How fresh a result is, and which processes could not be asked. */
export const formatFreshness = (snapshot: FleetSnapshot, rowCount: number): string =>
  [
    `${rowCount} rows; ${snapshot.fleets.length} registries answered, the oldest word of the primary is ${Math.round(snapshot.ageMs)} ms old`,
    ...(snapshot.unanswered.length > 0
      ? [`no answer from: ${snapshot.unanswered.join(', ')}`]
      : []),
    ...(snapshot.missing.length > 0 ? [`missing: ${snapshot.missing.join(', ')}`] : []),
  ].join('\n');

/** A result as one JSON object on one line. */
export const toJson = (rows: readonly Row[], snapshot: FleetSnapshot): string =>
  JSON.stringify({
    rows: rows.map((row) => Object.fromEntries(row)),
    registries: snapshot.fleets.length,
    oldestMs: Math.round(snapshot.ageMs),
    silent: snapshot.unanswered,
    missing: snapshot.missing,
  });
