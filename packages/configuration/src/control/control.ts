import * as v from 'valibot';
import * as g from '@switchwheel/types';
import {
  type Offer,
  type Origin,
  type Purge,
  type Put,
  type Report,
  type Verdict,
  offer,
  origin,
  purge,
  report,
  verdict,
} from '@switchwheel/transport';
import { policy } from '../description/schema.js';
import { type ReleaseOrder, releaseOrder } from '../release/order.js';

const place = v.object({ generation: g.generation, hash: g.hash });
/** A generation with the hash of what it holds. */
export type Place = v.InferOutput<typeof place>;

const stored = v.object({ offer, call: g.callId });
/** The description in force. */
export type Stored = v.InferOutput<typeof stored>;

const nodeRow = v.object({
  role: v.string(),
  incarnation: g.incarnation,
  online: v.boolean(),
  reported: report,
  assigned: v.optional(place),
  desired: v.optional(place),
  failed: v.optional(g.hash),
});
/** What the primary keeps of a node: what it reports, and what it is to run. */
export type NodeRow = v.InferOutput<typeof nodeRow>;

const rollout = v.object({
  generation: g.generation,
  hash: g.hash,
  status: v.picklist(['pending', 'running', 'completed', 'failed', 'superseded']),
  wave: v.number(),
  waves: v.number(),
  policy,
  troubled: v.boolean(),
  rev: g.seq,
});
/** One roll-out of a generation. */
export type Rollout = v.InferOutput<typeof rollout>;

const target = v.object({
  node: g.nodeId,
  generation: g.generation,
  wave: v.number(),
  status: v.picklist(['pending', 'in_progress', 'verifying', 'succeeded', 'failed', 'skipped']),
  text: v.string(),
  rev: g.seq,
});
/** One node in a roll-out. */
export type Target = v.InferOutput<typeof target>;

const numberRecord = v.object({ hash: g.hash });

const outcome = v.object({ status: v.number(), body: v.string(), seq: g.seq });
/** The answer an operator's call got, kept so that asking twice is safe. */
export type Outcome = v.InferOutput<typeof outcome>;

/** The control state, read from the replicated table. */
export interface Control {
  readonly stored: Stored | undefined;
  readonly nodes: ReadonlyMap<g.NodeId, NodeRow>;
  readonly rollouts: ReadonlyMap<g.Generation, Rollout>;
  readonly targets: ReadonlyMap<string, Target>;
  readonly purges: readonly Purge[];
  readonly verdicts: ReadonlyMap<string, Verdict>;
  /** The release each service is settled on, and the last order to move it. */
  readonly releases: ReadonlyMap<g.ServiceName, ReleaseOrder>;
  /** The origins that stood when they were last looked at. */
  readonly origins: ReadonlyMap<g.InstanceId, Origin>;
  readonly calls: ReadonlyMap<g.CallId, Outcome>;
  /** The content that each of the newest numbers has for ever: two contents never share one. */
  readonly numbers: ReadonlyMap<g.Generation, g.Hash>;
  readonly pieces: ReadonlyMap<g.Hash, string>;
}

export const noControl: Control = {
  stored: undefined,
  nodes: new Map(),
  rollouts: new Map(),
  targets: new Map(),
  purges: [],
  verdicts: new Map(),
  releases: new Map(),
  origins: new Map(),
  calls: new Map(),
  numbers: new Map(),
  pieces: new Map(),
};

/** How many batches of purges are kept for caches that come back; older ones make them start empty. */
export const keptPurges = 256;
/** How many characters all kept batches of purges may have: they go to a registry in one frame. */
const keptPurgeCharacters = 2 * 1024 * 1024;
/** How many answers to operators are kept. */
export const keptCalls = 512;
/** Of how many numbers of configurations the content is kept. */
export const keptNumbers = 1024;

const pad = (raw: number): string => String(raw).padStart(16, '0');
export const keyOf = {
  stored: 'description',
  node: (node: g.NodeId): string => `node/${node}`,
  rollout: (generation: g.Generation): string => `rollout/${pad(generation)}`,
  target: (generation: g.Generation, node: g.NodeId): string => `target/${pad(generation)}/${node}`,
  purge: (seq: g.Seq): string => `purge/${pad(seq)}`,
  verdict: (service: g.ServiceName, release: g.Release): string => `verdict/${service}/${release}`,
  release: (service: g.ServiceName): string => `release/${service}`,
  origin: (instance: g.InstanceId): string => `origin/${instance}`,
  call: (id: g.CallId): string => `call/${id}`,
  number: (number: g.Generation): string => `number/${pad(number)}`,
  piece: (hash: g.Hash): string => `piece/${hash}`,
} as const;

export const write = (key: string, value: object): Put => ({ key, data: JSON.stringify(value) });
export const erase = (key: string): Put => ({ key, data: null });

const parse = <T>(schema: v.GenericSchema<unknown, T>, data: string): T =>
  v.parse(schema, JSON.parse(data));
const tail = (key: string): string => key.slice(key.indexOf('/') + 1);

const setOrDrop = <K, T>(
  table: ReadonlyMap<K, T>,
  key: K,
  data: string | null,
  schema: v.GenericSchema<unknown, T>,
): ReadonlyMap<K, T> =>
  data === null ? g.withoutEntry(table, key) : g.withEntry(table, key, parse(schema, data));

const absorbPurge = (
  list: readonly Purge[],
  seq: number,
  data: string | null,
): readonly Purge[] => {
  const rest = list.filter((one) => one.seq !== seq);
  return data === null ? rest : [...rest, parse(purge, data)].sort((one, two) => one.seq - two.seq);
};

/** Takes one change of the table into the control state: the only way it changes. */
export const absorb = (control: Control, { key, data }: Put): Control => {
  const family = key.includes('/') ? key.slice(0, key.indexOf('/')) : key;
  const name = tail(key);
  switch (family) {
    case 'description':
      return { ...control, stored: data === null ? undefined : parse(stored, data) };
    case 'node':
      return g.isNodeId(name)
        ? { ...control, nodes: setOrDrop(control.nodes, name, data, nodeRow) }
        : control;
    case 'rollout':
      return {
        ...control,
        rollouts: setOrDrop(control.rollouts, g.toGeneration(Number(name)), data, rollout),
      };
    case 'target':
      return { ...control, targets: setOrDrop(control.targets, key, data, target) };
    case 'purge':
      return { ...control, purges: absorbPurge(control.purges, Number(name), data) };
    case 'verdict':
      return { ...control, verdicts: setOrDrop(control.verdicts, key, data, verdict) };
    case 'origin':
      return g.isInstanceId(name)
        ? { ...control, origins: setOrDrop(control.origins, name, data, origin) }
        : control;
    case 'release':
      return g.isServiceName(name)
        ? { ...control, releases: setOrDrop(control.releases, name, data, releaseOrder) }
        : control;
    case 'call':
      return g.isCallId(name)
        ? { ...control, calls: setOrDrop(control.calls, name, data, outcome) }
        : control;
    case 'number': {
      const number = g.toGeneration(Number(name));
      return {
        ...control,
        numbers:
          data === null
            ? g.withoutEntry(control.numbers, number)
            : g.withEntry(control.numbers, number, parse(numberRecord, data).hash),
      };
    }
    case 'piece':
      if (!g.isHash(name)) return control;
      return {
        ...control,
        pieces:
          data === null
            ? g.withoutEntry(control.pieces, name)
            : g.withEntry(control.pieces, name, data),
      };
    default:
      return control;
  }
};

export const absorbAll = (control: Control, puts: readonly Put[]): Control =>
  puts.reduce(absorb, control);
export const topPurge = (control: Control): g.Seq => control.purges.at(-1)?.seq ?? g.noSeq;
/** The number of the first purge that is still kept; caches that heard less start empty. */
export const floorPurge = (control: Control): g.Seq => control.purges[0]?.seq ?? g.noSeq;
export const placeOf = (one: Offer): Place => ({ generation: one.generation, hash: one.hash });
export const samePlace = (one: Place | undefined, two: Place | undefined): boolean =>
  one?.generation === two?.generation && one?.hash === two?.hash;
export type { Report };

const charactersOf = (batch: Purge): number => JSON.stringify(batch).length;

/** The oldest batches of purges that are given up for a new one: by number, and by what they weigh. */
export const surplusPurges = (kept: readonly Purge[], added: Purge): readonly Purge[] => {
  let characters = charactersOf(added);
  let count = 1;
  for (const one of [...kept].reverse()) {
    characters += charactersOf(one);
    if (count >= keptPurges || characters > keptPurgeCharacters) break;
    count += 1;
  }
  return kept.slice(0, kept.length + 1 - count);
};
