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
import { policy } from '../document/schema.js';
import { type ReleaseRollout, releaseRollout } from '../release/release-rollout.js';

const configVersion = v.object({ generation: g.generation, hash: g.hash });
/** A generation with the hash of what it holds. */
export type ConfigVersion = v.InferOutput<typeof configVersion>;

const storedConfiguration = v.object({ offer: configManifest, call: g.commandId });
/** The description in force. */
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
/** What the primary keeps of a node: what it reports, and what it is to run. */
export type NodeRecord = v.InferOutput<typeof nodeRecord>;

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

const rolloutTarget = v.object({
  node: g.nodeId,
  generation: g.generation,
  wave: v.number(),
  status: v.picklist(['pending', 'in_progress', 'verifying', 'succeeded', 'failed', 'skipped']),
  text: v.string(),
  rev: g.seq,
});
/** One node in a roll-out. */
export type RolloutTarget = v.InferOutput<typeof rolloutTarget>;

const generationRecord = v.object({ hash: g.hash });

const commandOutcome = v.object({ status: v.number(), body: v.string(), seq: g.seq });
/** The answer an operator's call got, kept so that asking twice is safe. */
export type CommandOutcome = v.InferOutput<typeof commandOutcome>;

/** The control state, read from the replicated table. */
export interface ControlState {
  readonly configuration: StoredConfiguration | undefined;
  readonly nodes: ReadonlyMap<g.NodeId, NodeRecord>;
  readonly rollouts: ReadonlyMap<g.Generation, Rollout>;
  readonly targets: ReadonlyMap<string, RolloutTarget>;
  readonly purges: readonly Purge[];
  readonly canaryResults: ReadonlyMap<string, CanaryResult>;
  /** The release each service is settled on, and the last order to move it. */
  readonly releases: ReadonlyMap<g.ServiceName, ReleaseRollout>;
  /** The origins that stood when they were last looked at. */
  readonly origins: ReadonlyMap<g.InstanceId, OriginInstance>;
  readonly commandOutcomes: ReadonlyMap<g.CommandId, CommandOutcome>;
  /** The content that each of the newest numbers has for ever: two contents never share one. */
  readonly hashByGeneration: ReadonlyMap<g.Generation, g.Hash>;
  readonly chunks: ReadonlyMap<g.Hash, string>;
}

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

/** How many batches of purges are kept for caches that come back; older ones make them start empty. */
export const maxKeptPurges = 256;
/** How many characters all kept batches of purges may have: they go to a registry in one frame. */
const maxKeptPurgeCharacters = 2 * 1024 * 1024;
/** How many answers to operators are kept. */
export const maxKeptOutcomes = 512;
/** Of how many numbers of configurations the content is kept. */
export const maxKeptGenerations = 1024;

const padNumber = (raw: number): string => String(raw).padStart(16, '0');
export const controlKeys = {
  stored: 'description',
  node: (node: g.NodeId): string => `node/${node}`,
  rollout: (generation: g.Generation): string => `rollout/${padNumber(generation)}`,
  target: (generation: g.Generation, node: g.NodeId): string =>
    `target/${padNumber(generation)}/${node}`,
  purge: (seq: g.Seq): string => `purge/${padNumber(seq)}`,
  verdict: (service: g.ServiceName, release: g.Release): string => `verdict/${service}/${release}`,
  release: (service: g.ServiceName): string => `release/${service}`,
  origin: (instance: g.InstanceId): string => `origin/${instance}`,
  call: (id: g.CommandId): string => `call/${id}`,
  number: (number: g.Generation): string => `number/${padNumber(number)}`,
  piece: (hash: g.Hash): string => `piece/${hash}`,
} as const;

export const putRecord = (key: string, value: object): TableMutation => ({
  key,
  data: JSON.stringify(value),
});
export const deleteRecord = (key: string): TableMutation => ({ key, data: null });

const parse = <T>(schema: v.GenericSchema<unknown, T>, data: string): T =>
  v.parse(schema, JSON.parse(data));
const keySuffix = (key: string): string => key.slice(key.indexOf('/') + 1);

const withRecord = <K, T>(
  table: ReadonlyMap<K, T>,
  key: K,
  data: string | null,
  schema: v.GenericSchema<unknown, T>,
): ReadonlyMap<K, T> =>
  data === null ? g.withoutEntry(table, key) : g.withEntry(table, key, parse(schema, data));

const withPurge = (list: readonly Purge[], seq: number, data: string | null): readonly Purge[] => {
  const rest = list.filter((one) => one.seq !== seq);
  return data === null ? rest : [...rest, parse(purge, data)].sort((one, two) => one.seq - two.seq);
};

/** Takes one change of the table into the control state: the only way it changes. */
export const applyPut = (control: ControlState, { key, data }: TableMutation): ControlState => {
  const family = key.includes('/') ? key.slice(0, key.indexOf('/')) : key;
  const name = keySuffix(key);
  switch (family) {
    case 'description':
      return {
        ...control,
        configuration: data === null ? undefined : parse(storedConfiguration, data),
      };
    case 'node':
      return g.isNodeId(name)
        ? { ...control, nodes: withRecord(control.nodes, name, data, nodeRecord) }
        : control;
    case 'rollout':
      return {
        ...control,
        rollouts: withRecord(control.rollouts, g.toGeneration(Number(name)), data, rollout),
      };
    case 'target':
      return { ...control, targets: withRecord(control.targets, key, data, rolloutTarget) };
    case 'purge':
      return { ...control, purges: withPurge(control.purges, Number(name), data) };
    case 'verdict':
      return {
        ...control,
        canaryResults: withRecord(control.canaryResults, key, data, canaryResult),
      };
    case 'origin':
      return g.isInstanceId(name)
        ? { ...control, origins: withRecord(control.origins, name, data, originInstance) }
        : control;
    case 'release':
      return g.isServiceName(name)
        ? { ...control, releases: withRecord(control.releases, name, data, releaseRollout) }
        : control;
    case 'call':
      return g.isCommandId(name)
        ? {
            ...control,
            commandOutcomes: withRecord(control.commandOutcomes, name, data, commandOutcome),
          }
        : control;
    case 'number': {
      const number = g.toGeneration(Number(name));
      return {
        ...control,
        hashByGeneration:
          data === null
            ? g.withoutEntry(control.hashByGeneration, number)
            : g.withEntry(control.hashByGeneration, number, parse(generationRecord, data).hash),
      };
    }
    case 'piece':
      if (!g.isHash(name)) return control;
      return {
        ...control,
        chunks:
          data === null
            ? g.withoutEntry(control.chunks, name)
            : g.withEntry(control.chunks, name, data),
      };
    default:
      return control;
  }
};

export const applyPuts = (control: ControlState, puts: readonly TableMutation[]): ControlState =>
  puts.reduce(applyPut, control);
export const latestPurge = (control: ControlState): g.Seq => control.purges.at(-1)?.seq ?? g.noSeq;
/** The number of the first purge that is still kept; caches that heard less start empty. */
export const oldestKeptPurge = (control: ControlState): g.Seq => control.purges[0]?.seq ?? g.noSeq;
export const configVersionOf = (one: ConfigManifest): ConfigVersion => ({
  generation: one.generation,
  hash: one.hash,
});
export const isSameVersion = (
  one: ConfigVersion | undefined,
  two: ConfigVersion | undefined,
): boolean => one?.generation === two?.generation && one?.hash === two?.hash;
export type { NodeStatus };

const encodedLength = (batch: Purge): number => JSON.stringify(batch).length;

/** The oldest batches of purges that are given up for a new one: by number, and by what they weigh. */
export const purgesToDrop = (kept: readonly Purge[], added: Purge): readonly Purge[] => {
  let characters = encodedLength(added);
  let count = 1;
  for (const one of [...kept].reverse()) {
    characters += encodedLength(one);
    if (count >= maxKeptPurges || characters > maxKeptPurgeCharacters) break;
    count += 1;
  }
  return kept.slice(0, kept.length + 1 - count);
};
