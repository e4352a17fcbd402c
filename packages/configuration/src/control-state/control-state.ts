/**
 * The control state and its rows in the replicated table. Schemas and keys are the stored form: a
 * new version must read rows of older ones, so fields and keys keep their names.
 */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
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

const configVersion = v.object({ generation: types.generation, hash: types.hash });
/** A generation of the configuration with its content hash. */
export type ConfigVersion = v.InferOutput<typeof configVersion>;

const storedConfiguration = v.object({ offer: configManifest, call: types.commandId });
/** The configuration in force, and the command that applied it. */
export type StoredConfiguration = v.InferOutput<typeof storedConfiguration>;

const nodeRecord = v.object({
  role: v.string(),
  incarnation: types.incarnation,
  online: v.boolean(),
  reported: nodeStatus,
  assigned: v.optional(configVersion),
  desired: v.optional(configVersion),
  failed: v.optional(types.hash),
});
/** Stored record of a node: its last report, and the versions assigned to it and desired of it. */
export type NodeRecord = v.InferOutput<typeof nodeRecord>;

const rollout = v.object({
  generation: types.generation,
  hash: types.hash,
  status: v.picklist(['pending', 'running', 'completed', 'failed', 'superseded']),
  wave: v.number(),
  waves: v.number(),
  policy: rolloutPolicy,
  troubled: v.boolean(),
  rev: types.seq,
});
/** Rollout of a generation to the nodes. */
export type Rollout = v.InferOutput<typeof rollout>;

const rolloutTarget = v.object({
  node: types.nodeId,
  generation: types.generation,
  wave: v.number(),
  status: v.picklist(['pending', 'in_progress', 'verifying', 'succeeded', 'failed', 'skipped']),
  text: v.string(),
  rev: types.seq,
});
/** State of one node in a rollout. */
export type RolloutTarget = v.InferOutput<typeof rolloutTarget>;

const generationRecord = v.object({ hash: types.hash });

const commandOutcome = v.object({ status: v.number(), body: v.string(), seq: types.seq });
/** Reply to an operator's command, kept so that a repeated command gets the same reply. */
export type CommandOutcome = v.InferOutput<typeof commandOutcome>;

/** The control state, built from the rows of the replicated table. */
export interface ControlState {
  readonly configuration: StoredConfiguration | undefined;
  readonly nodes: ReadonlyMap<types.NodeId, NodeRecord>;
  readonly rollouts: ReadonlyMap<types.Generation, Rollout>;
  readonly targets: ReadonlyMap<string, RolloutTarget>;
  readonly purges: readonly Purge[];
  readonly canaryResults: ReadonlyMap<string, CanaryResult>;
  /** Settled release and last rollout of each service. */
  readonly releases: ReadonlyMap<types.ServiceName, ReleaseRollout>;
  /** Origins that were live when the primary last stored them. */
  readonly origins: ReadonlyMap<types.InstanceId, OriginInstance>;
  readonly commandOutcomes: ReadonlyMap<types.CommandId, CommandOutcome>;
  /** Content hash of each of the newest generations, so that a generation is never used for two contents. */
  readonly hashByGeneration: ReadonlyMap<types.Generation, types.Hash>;
  readonly chunks: ReadonlyMap<types.Hash, string>;
}

/** Control state of an empty table. */
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

/** Maximum number of purge batches kept for caches that reconnect; a cache that missed more starts empty. */
export const maxKeptPurges = 256;
/** Maximum total length of the kept purge batches as JSON; they are sent to a registry in one frame. */
const maxKeptPurgeCharacters = 2 * 1024 * 1024;
/** Maximum number of command outcomes kept. */
export const maxKeptOutcomes = 512;
/** Maximum number of generations whose content hash is kept. */
export const maxKeptGenerations = 1024;

const padNumber = (raw: number): string => String(raw).padStart(16, '0');
/** Keys of the table's rows. Numbers are zero-padded so that rows sort by them. */
export const controlKeys = {
  configuration: 'description',
  node: (node: types.NodeId): string => `node/${node}`,
  rollout: (generation: types.Generation): string => `rollout/${padNumber(generation)}`,
  target: (generation: types.Generation, node: types.NodeId): string =>
    `target/${padNumber(generation)}/${node}`,
  purge: (seq: types.Seq): string => `purge/${padNumber(seq)}`,
  canaryResult: (service: types.ServiceName, release: types.Release): string =>
    `verdict/${service}/${release}`,
  release: (service: types.ServiceName): string => `release/${service}`,
  origin: (instance: types.InstanceId): string => `origin/${instance}`,
  commandOutcome: (id: types.CommandId): string => `call/${id}`,
  generation: (generation: types.Generation): string => `number/${padNumber(generation)}`,
  chunk: (hash: types.Hash): string => `piece/${hash}`,
} as const;

/** Builds the mutation that writes a row. */
export const putRecord = (key: string, value: object): TableMutation => ({
  key,
  data: JSON.stringify(value),
});
/** Builds the mutation that deletes a row. */
export const deleteRecord = (key: string): TableMutation => ({ key, data: null });

const parse = <T>(schema: v.GenericSchema<unknown, T>, data: string): T =>
  v.parse(schema, JSON.parse(data));

const withRecord = <K, T>(
  table: ReadonlyMap<K, T>,
  key: K,
  data: string | null,
  schema: v.GenericSchema<unknown, T>,
): ReadonlyMap<K, T> =>
  data === null ? types.withoutEntry(table, key) : types.withEntry(table, key, parse(schema, data));

const withPurge = (list: readonly Purge[], seq: number, data: string | null): readonly Purge[] => {
  const otherBatches = list.filter((batch) => batch.seq !== seq);
  return data === null
    ? otherBatches
    : [...otherBatches, parse(purge, data)].sort((left, right) => left.seq - right.seq);
};

/** Applies a row of one kind: `name` is the part of the key after its prefix, and null data deletes the row. */
type ApplyRow = (
  control: ControlState,
  name: string,
  data: string | null,
  key: string,
) => ControlState;

const applyNode: ApplyRow = (control, name, data) =>
  types.isNodeId(name)
    ? { ...control, nodes: withRecord(control.nodes, name, data, nodeRecord) }
    : control;

const applyOrigin: ApplyRow = (control, name, data) =>
  types.isInstanceId(name)
    ? { ...control, origins: withRecord(control.origins, name, data, originInstance) }
    : control;

const applyRelease: ApplyRow = (control, name, data) =>
  types.isServiceName(name)
    ? { ...control, releases: withRecord(control.releases, name, data, releaseRollout) }
    : control;

const applyOutcome: ApplyRow = (control, name, data) => {
  if (!types.isCommandId(name)) return control;
  const commandOutcomes = withRecord(control.commandOutcomes, name, data, commandOutcome);
  return { ...control, commandOutcomes };
};

const applyGeneration: ApplyRow = (control, name, data) => {
  const generation = types.toGeneration(Number(name));
  const hashByGeneration =
    data === null
      ? types.withoutEntry(control.hashByGeneration, generation)
      : types.withEntry(control.hashByGeneration, generation, parse(generationRecord, data).hash);
  return { ...control, hashByGeneration };
};

const applyChunk: ApplyRow = (control, name, data) => {
  if (!types.isHash(name)) return control;
  const chunks =
    data === null
      ? types.withoutEntry(control.chunks, name)
      : types.withEntry(control.chunks, name, data);
  return { ...control, chunks };
};

/** Row kinds by the part of the key before its first slash. */
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
      rollouts: withRecord(control.rollouts, types.toGeneration(Number(name)), data, rollout),
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

/** Applies a mutation of the replicated table. The control state changes in no other way. Unknown rows are ignored. */
export const applyPut = (control: ControlState, { key, data }: TableMutation): ControlState => {
  const slash = key.indexOf('/');
  const apply = rowKinds.get(slash < 0 ? key : key.slice(0, slash));
  return apply === undefined ? control : apply(control, key.slice(slash + 1), data, key);
};

/** Applies several mutations in order. */
export const applyPuts = (control: ControlState, puts: readonly TableMutation[]): ControlState =>
  puts.reduce(applyPut, control);
/** Number of the latest purge batch; 0 if there is none. */
export const latestPurge = (control: ControlState): types.Seq =>
  control.purges.at(-1)?.seq ?? types.noSeq;
/** Number of the oldest kept purge batch; 0 if there is none. A cache that missed an older one starts empty. */
export const oldestKeptPurge = (control: ControlState): types.Seq =>
  control.purges[0]?.seq ?? types.noSeq;
/** Version of the configuration that a manifest describes. */
export const configVersionOf = ({ generation, hash }: ConfigManifest): ConfigVersion => ({
  generation,
  hash,
});
/** Whether two versions are equal, or both undefined. */
export const isSameVersion = (
  first: ConfigVersion | undefined,
  second: ConfigVersion | undefined,
): boolean => first?.generation === second?.generation && first?.hash === second?.hash;
export type { NodeStatus };

const encodedLength = (batch: Purge): number => JSON.stringify(batch).length;

/** Oldest purge batches to delete when one is added, so that the limits on number and length hold. */
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
