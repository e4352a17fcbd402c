/**
 * The control state and its rows in the replicated table. The schemas and keys are the stored form:
 * a new version must read what an older one wrote, so their members keep their names.
 */

import * as v from 'valibot';
import * as g from '@switchwheel/types';
import {
  type ConfigManifest,
  type OriginInstance,
  type Purge,
  type TableMutation,
  type NodeStatus,
  type CanaryResult,
  configManifest,
  originInstance,
  purge,
  nodeStatus,
  canaryResult,
} from '@switchwheel/transport';
import { rolloutPolicy } from '../document/schema.js';
import { type ReleaseRollout, releaseRollout } from '../release/release-rollout.js';

const configVersion = v.object({ generation: g.generation, hash: g.hash });
/** A generation with the hash of what it holds. */
export type ConfigVersion = v.InferOutput<typeof configVersion>;

const storedConfiguration = v.object({ offer: configManifest, call: g.commandId });
/** The configuration in force, and the command that applied it. */
export type StoredConfiguration = v.InferOutput<typeof storedConfiguration>;

const nodeRecord = v.object({
  role: v.string(),
  incarnation: g.incarnation,
  online: v.boolean(),
  reported: nodeStatus,
  assigned: v.optional(configVersion),
  desired: v.optional(configVersion),
  failed: v.optional(g.hash),
});
/** What is stored of a node: what it reports, and what it is to run. */
export type NodeRecord = v.InferOutput<typeof nodeRecord>;

const rollout = v.object({
  generation: g.generation,
  hash: g.hash,
  status: v.picklist(['pending', 'running', 'completed', 'failed', 'superseded']),
  wave: v.number(),
  waves: v.number(),
  policy: rolloutPolicy,
  troubled: v.boolean(),
  rev: g.seq,
});
/** One rollout of a generation. */
export type Rollout = v.InferOutput<typeof rollout>;

const rolloutTarget = v.object({
  node: g.nodeId,
  generation: g.generation,
  wave: v.number(),
  status: v.picklist(['pending', 'in_progress', 'verifying', 'succeeded', 'failed', 'skipped']),
  text: v.string(),
  rev: g.seq,
});
/** One node in a rollout. */
export type RolloutTarget = v.InferOutput<typeof rolloutTarget>;

const generationRecord = v.object({ hash: g.hash });

const commandOutcome = v.object({ status: v.number(), body: v.string(), seq: g.seq });
/** The answer that an operator's command got, kept so that sending it twice is safe. */
export type CommandOutcome = v.InferOutput<typeof commandOutcome>;

/** The control state, as the replicated table holds it. */
export interface ControlState {
  readonly configuration: StoredConfiguration | undefined;
  readonly nodes: ReadonlyMap<g.NodeId, NodeRecord>;
  readonly rollouts: ReadonlyMap<g.Generation, Rollout>;
  readonly targets: ReadonlyMap<string, RolloutTarget>;
  readonly purges: readonly Purge[];
  readonly canaryResults: ReadonlyMap<string, CanaryResult>;
  /** The release that each service is settled on, and its last rollout. */
  readonly releases: ReadonlyMap<g.ServiceName, ReleaseRollout>;
  /** The origins that were live when the primary last stored them. */
  readonly origins: ReadonlyMap<g.InstanceId, OriginInstance>;
  readonly commandOutcomes: ReadonlyMap<g.CommandId, CommandOutcome>;
  /** The content of each of the newest generations: no two contents ever share a generation. */
  readonly hashByGeneration: ReadonlyMap<g.Generation, g.Hash>;
  readonly chunks: ReadonlyMap<g.Hash, string>;
}

/** The state of an empty table. */
export const emptyControlState: ControlState = {
  configuration: undefined,
  nodes: new Map(),
  rollouts: new Map(),
  targets: new Map(),
  purges: [],
  canaryResults: new Map(),
  releases: new Map(),
  origins: new Map(),
  commandOutcomes: new Map(),
  hashByGeneration: new Map(),
  chunks: new Map(),
};

/** How many batches of purges are kept for caches that reconnect; one that missed more starts empty. */
export const maxKeptPurges = 256;
/** How many characters all kept batches of purges may have: they go to a registry in one frame. */
const maxKeptPurgeCharacters = 2 * 1024 * 1024;
/** How many outcomes of commands are kept. */
export const maxKeptOutcomes = 512;
/** Of how many generations the content's hash is kept. */
export const maxKeptGenerations = 1024;

const padNumber = (raw: number): string => String(raw).padStart(16, '0');
/** The keys of the table's rows. Numbers are padded so that rows sort by them. */
export const controlKeys = {
  configuration: 'description',
  node: (node: g.NodeId): string => `node/${node}`,
  rollout: (generation: g.Generation): string => `rollout/${padNumber(generation)}`,
  target: (generation: g.Generation, node: g.NodeId): string =>
    `target/${padNumber(generation)}/${node}`,
  purge: (seq: g.Seq): string => `purge/${padNumber(seq)}`,
  canaryResult: (service: g.ServiceName, release: g.Release): string =>
    `verdict/${service}/${release}`,
  release: (service: g.ServiceName): string => `release/${service}`,
  origin: (instance: g.InstanceId): string => `origin/${instance}`,
  commandOutcome: (id: g.CommandId): string => `call/${id}`,
  generation: (generation: g.Generation): string => `number/${padNumber(generation)}`,
  chunk: (hash: g.Hash): string => `piece/${hash}`,
} as const;

/** Writes a row. */
export const putRecord = (key: string, value: object): TableMutation => ({
  key,
  data: JSON.stringify(value),
});
/** Deletes a row. */
export const deleteRecord = (key: string): TableMutation => ({ key, data: null });

const parse = <T>(schema: v.GenericSchema<unknown, T>, data: string): T =>
  v.parse(schema, JSON.parse(data));

const withRecord = <K, T>(
  table: ReadonlyMap<K, T>,
  key: K,
  data: string | null,
  schema: v.GenericSchema<unknown, T>,
): ReadonlyMap<K, T> =>
  data === null ? g.withoutEntry(table, key) : g.withEntry(table, key, parse(schema, data));

const withPurge = (list: readonly Purge[], seq: number, data: string | null): readonly Purge[] => {
  const rest = list.filter((batch) => batch.seq !== seq);
  return data === null ? rest : [...rest, parse(purge, data)].sort((one, two) => one.seq - two.seq);
};

/** How a row of one kind changes the state: by the name after the key's prefix, and its data or null. */
type ApplyRow = (
  control: ControlState,
  name: string,
  data: string | null,
  key: string,
) => ControlState;

const applyNode: ApplyRow = (control, name, data) =>
  g.isNodeId(name)
    ? { ...control, nodes: withRecord(control.nodes, name, data, nodeRecord) }
    : control;

const applyOrigin: ApplyRow = (control, name, data) =>
  g.isInstanceId(name)
    ? { ...control, origins: withRecord(control.origins, name, data, originInstance) }
    : control;

const applyRelease: ApplyRow = (control, name, data) =>
  g.isServiceName(name)
    ? { ...control, releases: withRecord(control.releases, name, data, releaseRollout) }
    : control;

const applyOutcome: ApplyRow = (control, name, data) => {
  if (!g.isCommandId(name)) return control;
  const commandOutcomes = withRecord(control.commandOutcomes, name, data, commandOutcome);
  return { ...control, commandOutcomes };
};

const applyGeneration: ApplyRow = (control, name, data) => {
  const generation = g.toGeneration(Number(name));
  const hashByGeneration =
    data === null
      ? g.withoutEntry(control.hashByGeneration, generation)
      : g.withEntry(control.hashByGeneration, generation, parse(generationRecord, data).hash);
  return { ...control, hashByGeneration };
};

const applyChunk: ApplyRow = (control, name, data) => {
  if (!g.isHash(name)) return control;
  const chunks =
    data === null ? g.withoutEntry(control.chunks, name) : g.withEntry(control.chunks, name, data);
  return { ...control, chunks };
};

/** Rows by the part of the key before its first slash. */
const rowKinds: ReadonlyMap<string, ApplyRow> = new Map<string, ApplyRow>([
  [
    'description',
    (control, _, data) => ({
      ...control,
      configuration: data === null ? undefined : parse(storedConfiguration, data),
    }),
  ],
  ['node', applyNode],
  [
    'rollout',
    (control, name, data) => ({
      ...control,
      rollouts: withRecord(control.rollouts, g.toGeneration(Number(name)), data, rollout),
    }),
  ],
  [
    'target',
    (control, _, data, key) => ({
      ...control,
      targets: withRecord(control.targets, key, data, rolloutTarget),
    }),
  ],
  [
    'purge',
    (control, name, data) => ({
      ...control,
      purges: withPurge(control.purges, Number(name), data),
    }),
  ],
  [
    'verdict',
    (control, _, data, key) => ({
      ...control,
      canaryResults: withRecord(control.canaryResults, key, data, canaryResult),
    }),
  ],
  ['origin', applyOrigin],
  ['release', applyRelease],
  ['call', applyOutcome],
  ['number', applyGeneration],
  ['piece', applyChunk],
]);

/** Applies one change of the replicated table: the only way the control state changes. Unknown rows are ignored. */
export const applyPut = (control: ControlState, { key, data }: TableMutation): ControlState => {
  const slash = key.indexOf('/');
  const apply = rowKinds.get(slash < 0 ? key : key.slice(0, slash));
  return apply === undefined ? control : apply(control, key.slice(slash + 1), data, key);
};

/** Applies several changes in order. */
export const applyPuts = (control: ControlState, puts: readonly TableMutation[]): ControlState =>
  puts.reduce(applyPut, control);
/** The number of the latest batch of purges; 0 if there is none. */
export const latestPurge = (control: ControlState): g.Seq => control.purges.at(-1)?.seq ?? g.noSeq;
/** The number of the oldest batch that is kept; a cache that has not even that one starts empty. */
export const oldestKeptPurge = (control: ControlState): g.Seq => control.purges[0]?.seq ?? g.noSeq;
/** The version that a manifest is of. */
export const configVersionOf = ({ generation, hash }: ConfigManifest): ConfigVersion => ({
  generation,
  hash,
});
/** Whether two versions are equal, or both undefined. */
export const isSameVersion = (
  one: ConfigVersion | undefined,
  two: ConfigVersion | undefined,
): boolean => one?.generation === two?.generation && one?.hash === two?.hash;
export type { NodeStatus };

const encodedLength = (batch: Purge): number => JSON.stringify(batch).length;

/** The oldest batches that have to go for a new one: by their number, and by their length. */
export const purgesToDrop = (kept: readonly Purge[], added: Purge): readonly Purge[] => {
  let characters = encodedLength(added);
  let count = 1;
  for (const batch of [...kept].reverse()) {
    characters += encodedLength(batch);
    if (count >= maxKeptPurges || characters > maxKeptPurgeCharacters) break;
    count += 1;
  }
  return kept.slice(0, kept.length + 1 - count);
};
