import { serialize } from 'node:v8';
import { HollowFleet, type Size } from './fleet.js';
import { type Use, newUse } from './meter.js';

/** One fleet to measure: its size, how many purges a second come, and for how long it is looked at. */
export interface Trial extends Size {
  readonly purges: number;
  readonly windowMs: number;
  /** Whether registries are lost at the end. */
  readonly loss: boolean;
}

export const roles = ['edge', 'registry', 'primary', 'backup'] as const;
export type Role = (typeof roles)[number];

/** What one process of a role does in a second, the mean of its role. */
export interface Rates extends Readonly<Use> {
  readonly stateBytes: number;
}

/** How long something took in simulated time, undefined if it was not done in time: messages' ways alone, no processor time. */
export interface Spans {
  readonly configMs: number | undefined;
  readonly purgeMs: number | undefined;
  readonly oneLostMs: number | undefined;
  readonly allLostMs: number | undefined;
}

export const measures = [
  'messagesIn',
  'messagesOut',
  'bytesIn',
  'bytesOut',
  'stepMs',
  'encodeMs',
  'decodeMs',
  'stateBytes',
] as const;

export interface Reading {
  readonly trial: Trial;
  readonly rates: ReadonlyMap<Role, Rates>;
  readonly kinds: ReadonlyMap<string, { readonly messages: number; readonly bytes: number }>;
  readonly spans: Spans;
}

const longest = 20_000;
const fields = [
  'messagesOut',
  'messagesIn',
  'bytesOut',
  'bytesIn',
  'stepMs',
  'encodeMs',
  'decodeMs',
] as const;

const stateOf = (fleet: HollowFleet, role: Role): unknown => {
  switch (role) {
    case 'edge': {
      const state = fleet.nodes[0]?.state;
      return state === undefined ? undefined : { ...state, compiledConfiguration: undefined };
    }
    case 'registry':
      return fleet.registries[0]?.state;
    case 'primary':
      return fleet.primary?.state;
    case 'backup':
      return fleet.stores.find((one) => one !== fleet.primary)?.state;
  }
};

const nodesOf = (fleet: HollowFleet, role: Role): readonly string[] => {
  switch (role) {
    case 'edge':
      return fleet.nodes.map((one) => one.node);
    case 'registry':
      return fleet.registries.map((one) => one.node);
    case 'primary':
      return fleet.primary === undefined ? [] : [fleet.primary.node];
    case 'backup':
      return fleet.stores.filter((one) => one !== fleet.primary).map((one) => one.node);
  }
};

const ratesOf = (fleet: HollowFleet, role: Role, windowMs: number): Rates => {
  const nodes = nodesOf(fleet, role);
  const sum = newUse();
  for (const node of nodes) {
    const use = fleet.meter.of(node);
    for (const field of fields) sum[field] += use[field];
  }
  for (const field of fields) sum[field] /= Math.max(1, nodes.length) * (windowMs / 1000);
  return { ...sum, stateBytes: serialize(stateOf(fleet, role)).length };
};

/** Purges come evenly over the window. */
const purgeEvenly = (fleet: HollowFleet, trial: Trial): void => {
  const many = Math.round((trial.purges * trial.windowMs) / 1000);
  for (let at = 0; at < many; at += 1)
    fleet.eventQueue.schedule((at * trial.windowMs) / many, () => fleet.purge(() => undefined));
};

const configSpan = (fleet: HollowFleet): number | undefined => {
  fleet.apply(2);
  return fleet.until(longest, () => fleet.nodes.every((one) => one.generation >= 2));
};

const purgeSpan = (fleet: HollowFleet): number | undefined => {
  let seq: number | undefined;
  fleet.purge((told) => {
    seq = told;
  });
  return fleet.until(
    longest,
    () => seq !== undefined && fleet.nodes.every((one) => seq !== undefined && one.purged >= seq),
  );
};

const lossSpan = (fleet: HollowFleet, many: number): number | undefined => {
  const lost = fleet.registries.slice(0, many);
  for (const one of lost) one.kill();
  if (many === fleet.registries.length)
    fleet.eventQueue.schedule(500, () => {
      for (const one of lost) one.start();
    });
  const took = fleet.until(longest, () => fleet.stands());
  for (const one of lost) one.start();
  fleet.run(2000);
  return took;
};

/** Forms a fleet, looks at it for a while, and changes, purges and loses things one after another. */
export const measure = (trial: Trial): Reading => {
  const fleet = new HollowFleet(trial);
  fleet.form();
  fleet.meter.reset();
  fleet.meter.open = true;
  purgeEvenly(fleet, trial);
  fleet.run(trial.windowMs);
  fleet.meter.open = false;
  const rates = new Map(roles.map((role) => [role, ratesOf(fleet, role, trial.windowMs)] as const));
  const seconds = trial.windowMs / 1000;
  const kinds = new Map(
    [...fleet.meter.kinds].map(
      ([kind, row]) =>
        [kind, { messages: row.messages / seconds, bytes: row.bytes / seconds }] as const,
    ),
  );
  const spans: Spans = {
    configMs: configSpan(fleet),
    purgeMs: purgeSpan(fleet),
    oneLostMs: trial.loss ? lossSpan(fleet, 1) : undefined,
    allLostMs: trial.loss ? lossSpan(fleet, fleet.registries.length) : undefined,
  };
  return { trial, rates, kinds, spans };
};
