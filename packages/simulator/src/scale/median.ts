import { type Rates, type Reading, measures, roles } from './measure.js';

export const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((one, two) => one - two);
  const [low, high] = [
    sorted[Math.floor((sorted.length - 1) / 2)] ?? 0,
    sorted[Math.ceil((sorted.length - 1) / 2)] ?? 0,
  ];
  return (low + high) / 2;
};

const medianSpan = (values: readonly (number | undefined)[]): number | undefined => {
  const known = values.filter((one) => one !== undefined);
  return known.length < values.length ? undefined : median(known);
};

/** One reading out of those of several seeds: the median of each figure. */
export const medianOf = (first: Reading, readings: readonly Reading[]): Reading => {
  const all = [first, ...readings];
  const rates = new Map(
    roles.map((role) => {
      const rows = all.flatMap((one) => one.rates.get(role) ?? []);
      const pick = (name: (typeof measures)[number]): number =>
        median(rows.map((one) => one[name]));
      const row: Rates = {
        messagesIn: pick('messagesIn'),
        messagesOut: pick('messagesOut'),
        bytesIn: pick('bytesIn'),
        bytesOut: pick('bytesOut'),
        stepMs: pick('stepMs'),
        encodeMs: pick('encodeMs'),
        decodeMs: pick('decodeMs'),
        stateBytes: pick('stateBytes'),
      };
      return [role, row] as const;
    }),
  );
  const kinds = new Map(
    [...first.kinds.keys()].map(
      (kind) =>
        [
          kind,
          {
            messages: median(all.map((one) => one.kinds.get(kind)?.messages ?? 0)),
            bytes: median(all.map((one) => one.kinds.get(kind)?.bytes ?? 0)),
          },
        ] as const,
    ),
  );
  const span = (name: keyof Reading['spans']): number | undefined =>
    medianSpan(all.map((one) => one.spans[name]));
  return {
    trial: first.trial,
    rates,
    kinds,
    spans: {
      configMs: span('configMs'),
      purgeMs: span('purgeMs'),
      oneLostMs: span('oneLostMs'),
      allLostMs: span('allLostMs'),
    },
  };
};

/** By how much the readings of one trial differ at most, as a part of their median. */
export const spreadOf = (values: readonly number[]): number => {
  const middle = median(values);
  return middle === 0 ? 0 : (Math.max(...values) - Math.min(...values)) / middle;
};
