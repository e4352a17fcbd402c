import { formatColumns } from '@switchwheel/types';
import type { Words } from '../gather/gather.js';
import type { Row } from '../table/tables.js';

const cell = (raw: string | number | boolean | null | undefined): string =>
  raw === null || raw === undefined || raw === '' ? '-' : String(raw);

/** Rows under headings. */
export const printRows = (rows: readonly Row[]): string => {
  const heads = [...(rows[0]?.keys() ?? [])];
  if (heads.length === 0) return '(no rows)';
  const lines = [heads, ...rows.map((row) => heads.map((head) => cell(row.get(head))))];
  return formatColumns(lines);
};

/** How fresh a result is, and who could not be asked. */
export const printFresh = (words: Words, many: number): string =>
  [
    `${many} rows; ${words.fleets.length} registries answered, the oldest word of the primary is ${Math.round(words.ageMs)} ms old`,
    ...(words.silent.length > 0 ? [`no answer from: ${words.silent.join(', ')}`] : []),
    ...(words.missing.length > 0 ? [`missing: ${words.missing.join(', ')}`] : []),
  ].join('\n');

export const toJson = (rows: readonly Row[], words: Words): string =>
  JSON.stringify({
    rows: rows.map((row) => Object.fromEntries(row)),
    registries: words.fleets.length,
    oldestMs: Math.round(words.ageMs),
    silent: words.silent,
    missing: words.missing,
  });
