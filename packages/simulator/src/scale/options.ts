import type { Trial } from './measure.js';

/** What is varied, one at a time; the first value of each holds while another is varied. */
export const factors = ['nodes', 'origins', 'services', 'registries', 'purges'] as const;
export type Factor = (typeof factors)[number];

/** What a scale run was asked for, as it stands on the command line. */
export interface Asked {
  readonly lists: ReadonlyMap<Factor, string>;
  readonly seed: number;
  readonly seconds: number;
  readonly stores: number;
  readonly areas: number;
  readonly loss: boolean;
  readonly repeat: number;
}

export interface Plan {
  readonly repeat: number;
  readonly runs: readonly {
    readonly factor: Factor;
    readonly value: number;
    readonly trial: Trial;
  }[];
}

/** The least and the most of each number that a run takes. */
const bounds: ReadonlyMap<Factor, readonly [number, number]> = new Map([
  ['nodes', [1, 1000]],
  ['origins', [1, 1000]],
  ['services', [1, 500]],
  ['registries', [3, 31]],
  ['purges', [0, 100]],
]);
const firsts: ReadonlyMap<Factor, number> = new Map([
  ['nodes', 20],
  ['origins', 20],
  ['services', 4],
  ['registries', 8],
  ['purges', 0],
]);

const whole = (raw: number, low: number, high: number): boolean =>
  Number.isSafeInteger(raw) && raw >= low && raw <= high;

const readList = (
  factor: Factor,
  text: string,
): { readonly values: readonly number[]; readonly faults: readonly string[] } => {
  const [low, high] = bounds.get(factor) ?? [0, 0];
  const parts = text.split(',');
  const bad = parts.filter((one) => !/^\d+$/.test(one) || !whole(Number(one), low, high));
  const values = parts.map(Number);
  const twice =
    bad.length === 0 && new Set(values).size < values.length
      ? [`--${factor}: each value once`]
      : [];
  return {
    values,
    faults: [
      ...bad.map((one) => `--${factor}: "${one}" is no whole number from ${low} to ${high}`),
      ...twice,
    ],
  };
};

/** What to run, or all that is wrong with what was asked. */
export const readPlan = (
  asked: Asked,
): { readonly plan: Plan } | { readonly faults: readonly string[] } => {
  const lists = new Map(
    [...asked.lists].map(([factor, text]) => [factor, readList(factor, text)] as const),
  );
  const faults = [
    ...[...lists.values()].flatMap((one) => one.faults),
    ...(whole(asked.seed, 0, 4294967295) ? [] : ['--seed: a whole number from 0 to 4294967295']),
    ...(whole(asked.seconds, 1, 60) ? [] : ['--seconds: a whole number from 1 to 60']),
    ...(whole(asked.stores, 2, 9) ? [] : ['--stores: a whole number from 2 to 9']),
    ...(whole(asked.repeat, 1, 99) ? [] : ['--repeat: a whole number from 1 to 99']),
    ...(whole(asked.areas, 1, 100) ? [] : ['--areas: a whole number from 1 to 100']),
  ];
  if (faults.length > 0) return { faults };
  const first = (factor: Factor): number => lists.get(factor)?.values[0] ?? firsts.get(factor) ?? 0;
  const base: Trial = {
    seed: asked.seed,
    nodes: first('nodes'),
    origins: first('origins'),
    services: first('services'),
    registries: first('registries'),
    purges: first('purges'),
    stores: asked.stores,
    areas: asked.areas,
    windowMs: asked.seconds * 1000,
    loss: asked.loss,
  };
  const runs = factors.flatMap((factor) =>
    (lists.get(factor)?.values ?? []).map((value) => ({
      factor,
      value,
      trial: { ...base, [factor]: value },
    })),
  );
  return { plan: { runs, repeat: asked.repeat } };
};
