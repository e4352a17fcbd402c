import * as v from 'valibot';
import * as g from '@switchwheel/types';

/** One part of a node's health, with its own parts below it. */
export interface Health {
  readonly name: string;
  readonly healthy: boolean;
  readonly text: string;
  readonly parts: readonly Health[];
}
export const health: v.GenericSchema<Health> = v.object({
  name: v.string(),
  healthy: v.boolean(),
  text: v.string(),
  parts: v.array(v.lazy(() => health)),
});

export const role = v.picklist(['edge', 'shield', 'registry', 'store']);

/** What a node says of the description it runs. */
export const nodeStatus = v.object({
  generation: g.generation,
  hash: v.optional(g.hash),
  phase: v.picklist(['none', 'applying', 'applied', 'failed']),
  failed: v.optional(v.object({ generation: g.generation, hash: g.hash, text: v.string() })),
  health: health,
  ready: v.boolean(),
});
export type NodeStatus = v.InferOutput<typeof nodeStatus>;

/** A node as the fleet knows it. */
export const member = v.object({
  node: g.nodeId,
  role,
  area: g.zoneName,
  address: g.address,
  door: v.optional(g.address),
  /** Where the operators' tools may look at its state. */
  admin: v.optional(g.address),
  incarnation: g.incarnation,
});
export type Member = v.InferOutput<typeof member>;

/** A session as its registry tells it; `seq` grows with each word of the node. */
export const sessionRecord = v.object({
  member,
  report: nodeStatus,
  registry: g.nodeId,
  seq: g.seq,
  age: g.durationMs,
  open: v.boolean(),
});
export type SessionRecord = v.InferOutput<typeof sessionRecord>;

/** A run of an origin, as it announced itself. */
export const originInstance = v.object({
  service: g.serviceName,
  instance: g.instanceId,
  address: g.address,
  release: g.release,
  slots: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(10000)),
  state: v.picklist(['up', 'leaving', 'gone']),
  area: v.optional(g.zoneName),
  /** Grows with every word of the instance, so that a late one is known as such. */
  calls: v.optional(g.seq),
  /** For how long after this word it is slow, as it has just started. */
  coldMs: v.optional(g.durationMs),
  age: g.durationMs,
});
export type OriginInstance = v.InferOutput<typeof originInstance>;

/** Who holds a duty, by its own word after it won. */
export const leaseHolder = v.object({
  duty: g.leaseName,
  epoch: g.epoch,
  node: g.nodeId,
  address: g.address,
  door: v.optional(g.address),
});
export type LeaseHolder = v.InferOutput<typeof leaseHolder>;

/** The voters that may grant duties; changed by one member at a time. */
export const electorate = v.object({
  serial: g.seq,
  members: v.array(v.object({ node: g.nodeId, address: g.address })),
});
export type Electorate = v.InferOutput<typeof electorate>;

/** What a purge aims at. */
export const purgeTarget = v.variant('by', [
  v.object({ by: v.literal('object'), host: v.optional(v.string()), path: v.string() }),
  v.object({ by: v.literal('tag'), tag: v.string() }),
  v.object({ by: v.literal('all') }),
]);
export type PurgeTarget = v.InferOutput<typeof purgeTarget>;

/** A batch of purges, in the order of its number. */
export const purge = v.object({ seq: g.seq, aims: v.array(purgeTarget) });
export type Purge = v.InferOutput<typeof purge>;

/** What a node is to run: the whole description as the hashes of its pieces. */
export const configManifest = v.object({
  generation: g.generation,
  hash: g.hash,
  pieces: v.array(g.hash),
});
export type ConfigManifest = v.InferOutput<typeof configManifest>;

/** A stored judgement on a release of a service. */
export const canaryResult = v.object({
  service: g.serviceName,
  release: g.release,
  state: v.picklist(['trial', 'good', 'bad']),
  /** Requests it may have had so far, reserved ahead. */
  spent: v.pipe(v.number(), v.integer(), v.minValue(0)),
  bad: v.pipe(v.number(), v.integer(), v.minValue(0)),
  good: v.pipe(v.number(), v.integer(), v.minValue(0)),
  /** The service's traffic since the trial began, as last told. */
  seen: v.pipe(v.number(), v.integer(), v.minValue(0)),
});
export type CanaryResult = v.InferOutput<typeof canaryResult>;

const count = v.pipe(v.number(), v.integer(), v.minValue(0));
const share = v.pipe(v.number(), v.minValue(0), v.maxValue(1));

/** How far the order to move a service to a release is: on trial, all moving, or judged. */
export const rolloutPhase = v.picklist(['none', 'trial', 'moving', 'good', 'bad']);
export type RolloutPhase = v.InferOutput<typeof rolloutPhase>;

/** Which release a service's requests go to. */
export const rolloutState = v.object({
  service: g.serviceName,
  settled: v.optional(g.release),
  target: v.optional(g.release),
  phase: rolloutPhase,
  /** The share of an edge's own requests that the target gets while on trial. */
  share,
  /** Classes with another share than that: each needs enough answers to be judged by. */
  shares: v.array(v.object({ group: v.string(), share })),
  leftMs: g.durationMs,
  /** The number of the order: edges count anew with each. */
  order: g.seq,
  /** Grows with each change of the state; only the highest counts. */
  serial: g.seq,
});
export type RolloutState = v.InferOutput<typeof rolloutState>;

/** What an edge sent to a release on behalf of a class, and what became of it. */
export const releaseCounts = v.object({
  release: g.release,
  group: v.string(),
  sent: count,
  good: count,
  bad: count,
  slow: count,
  sumMs: v.pipe(v.number(), v.minValue(0)),
});
export type ReleaseCountsRow = v.InferOutput<typeof releaseCounts>;
