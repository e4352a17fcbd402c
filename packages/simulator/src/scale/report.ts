import { fitLine } from './fit.js';
import { type Reading, type Role, measures, roles } from './measure.js';
import { medianOf, spreadOf } from './median.js';
import { type Factor, factors } from './options.js';

/** One measured run, with what was varied in it. */
export interface Row {
  readonly factor: Factor;
  readonly value: number;
  /** The median of the runs. */
  readonly reading: Reading;
  readonly runs: readonly Reading[];
}

export const newRow = (
  factor: Factor,
  value: number,
  first: Reading,
  others: readonly Reading[],
): Row => ({ factor, value, reading: medianOf(first, others), runs: [first, ...others] });

const spanNames = ['configMs', 'purgeMs', 'oneLostMs', 'allLostMs'] as const;

const short = (value: number): string =>
  Math.abs(value) >= 100 ? String(Math.round(value)) : String(Number(value.toPrecision(3)));

const seriesOf = (
  rows: readonly Row[],
  role: Role,
  measure: (typeof measures)[number],
): readonly (readonly [number, number])[] =>
  rows.flatMap((row) => {
    const rates = row.reading.rates.get(role);
    return rates === undefined ? [] : [[row.value, rates[measure]] as const];
  });

const widest = (rows: readonly Row[], role: Role, measure: (typeof measures)[number]): number =>
  Math.max(
    ...rows.map((row) => spreadOf(row.runs.flatMap((one) => one.rates.get(role)?.[measure] ?? []))),
  );

/** The slopes of one factor for each role: per second and process, but for the state. */
const slopesOf = (rows: readonly Row[]): readonly string[] =>
  roles.flatMap((role) =>
    measures.map((measure) => {
      const points = seriesOf(rows, role, measure);
      const { slope, base, residual } = fitLine(points);
      const seen = points.map(([, y]) => short(y).padStart(9)).join('');
      const line =
        points.length < 2
          ? ''
          : `  ${short(base)} + ${short(slope)} x, off by at most ${short(residual * 100)}%`;
      return `${role.padEnd(9)} ${measure.padEnd(12)}${seen}${line}, runs differ by ${short(widest(rows, role, measure) * 100)}%`;
    }),
  );

const spansOf = (rows: readonly Row[]): readonly string[] =>
  spanNames.map(
    (name) =>
      `${name.padEnd(22)}${rows.map((row) => (row.reading.spans[name] === undefined ? '-' : short(row.reading.spans[name])).padStart(9)).join('')}`,
  );

/** Bytes a second of each kind of frame, in the whole fleet. */
const kindsOf = (rows: readonly Row[]): readonly string[] => {
  const kinds = [...new Set(rows.flatMap((row) => [...row.reading.kinds.keys()]))].sort();
  return kinds.map(
    (kind) =>
      `${kind.padEnd(10)}${'bytes'.padEnd(12)}${rows.map((row) => short(row.reading.kinds.get(kind)?.bytes ?? 0).padStart(9)).join('')}`,
  );
};

export const tellTable = (rows: readonly Row[]): string =>
  factors
    .flatMap((factor) => {
      const own = rows.filter((row) => row.factor === factor);
      if (own.length === 0) return [];
      return [
        `${factor.padEnd(22)}${own.map((row) => String(row.value).padStart(9)).join('')}`,
        ...slopesOf(own),
        ...spansOf(own),
        ...kindsOf(own),
        '',
      ];
    })
    .join('\n');

export const tellCsv = (rows: readonly Row[]): string =>
  [
    ['factor', 'value', 'role', ...measures, ...spanNames].join(','),
    ...rows.flatMap((row) =>
      [...row.reading.rates].map(([role, rates]) =>
        [
          row.factor,
          row.value,
          role,
          ...measures.map((one) => short(rates[one])),
          ...spanNames.map((one) => row.reading.spans[one] ?? ''),
        ].join(','),
      ),
    ),
  ].join('\n');

export const tellJson = (rows: readonly Row[]): string =>
  JSON.stringify(
    rows.map(({ factor, value, runs }) => ({
      factor,
      value,
      runs: runs.map((one) => ({
        trial: one.trial,
        rates: Object.fromEntries(one.rates),
        kinds: Object.fromEntries(one.kinds),
        spans: one.spans,
      })),
    })),
    undefined,
    1,
  );
