import * as v from 'valibot';
import * as g from '@switchwheel/types';
import {
  electorate,
  leaseHolder,
  member,
  configManifest,
  originInstance,
  purge,
  rolloutState,
  nodeStatus,
  sessionRecord,
  releaseCounts,
  canaryResult,
} from './member.js';

const kind = <K extends string>(name: K): v.LiteralSchema<K, undefined> => v.literal(name);

/** One change of the replicated table. */
export const tableMutation = v.object({ key: v.string(), data: v.nullable(v.string()) });
export type TableMutation = v.InferOutput<typeof tableMutation>;

/** Where in the order of all writes something stands. */
export const logPosition = v.object({ epoch: g.epoch, seq: g.seq });
export type LogPosition = v.InferOutput<typeof logPosition>;

/** A store's own record of who may be elected. */
export const clusterMetadata = v.object({
  fleet: g.fleetId,
  epoch: g.epoch,
  inSyncSet: v.array(g.nodeId),
  stores: v.array(v.object({ node: g.nodeId, address: g.address })),
  electorate,
});
export type ClusterMetadata = v.InferOutput<typeof clusterMetadata>;

export const leaseGrantRecord = v.object({
  duty: g.leaseName,
  epoch: g.epoch,
  node: g.nodeId,
  inSyncSet: v.array(g.nodeId),
});
export type LeaseGrantRecord = v.InferOutput<typeof leaseGrantRecord>;

const hint = v.object({
  kind: kind('hint'),
  node: g.nodeId,
  address: g.address,
  incarnation: g.incarnation,
  /** When the store said it, by its own clock. */
  at: g.timestamp,
  metadata: clusterMetadata,
  offer: v.optional(configManifest),
  origins: v.array(originInstance),
});

export const controlFrames = [
  v.object({
    kind: kind('heartbeat'),
    member,
    seq: g.seq,
    at: g.timestamp,
    report: nodeStatus,
    bye: v.boolean(),
    held: v.array(leaseHolder),
    purged: g.seq,
    /** A digest of the records of releases that the node knows: those that are settled are told only if it differs. */
    releases: v.optional(v.string()),
  }),
  v.object({
    kind: kind('heartbeat-reply'),
    at: g.timestamp,
    registry: g.nodeId,
    incarnation: g.incarnation,
    /** How old this registry's word of the primary is; absent when it has none that counts. */
    age: v.optional(g.durationMs),
    epoch: g.epoch,
    offer: v.optional(configManifest),
    /** The newest confirmed generation, and how long ago this registry first heard of it. */
    newest: g.generation,
    newestAge: g.durationMs,
    purges: v.array(purge),
    floor: g.seq,
    top: g.seq,
    verdicts: v.array(canaryResult),
    releases: v.array(rolloutState),
    /** Duties whose lease this registry, as a voter, knows to be over. */
    vacant: v.array(g.leaseName),
    electorate: v.optional(electorate),
    fleet: v.optional(g.fleetId),
  }),
  v.object({ kind: kind('handover'), duty: g.leaseName, epoch: g.epoch }),
  /** An origin leaves or is gone: a registry tells its peers, and each answers that it took the word. */
  v.object({ kind: kind('departure'), origin: originInstance }),
  v.object({
    kind: kind('departure-ack'),
    node: g.nodeId,
    instance: g.instanceId,
    state: originInstance.entries.state,
  }),
  v.object({
    kind: kind('member-list'),
    members: v.array(member),
    origins: v.array(originInstance),
    holders: v.array(leaseHolder),
  }),
  v.object({
    kind: kind('gossip'),
    from: member,
    full: v.boolean(),
    sessions: v.array(sessionRecord),
    origins: v.array(originInstance),
    holders: v.array(leaseHolder),
    memories: v.array(leaseGrantRecord),
    recovering: v.boolean(),
    at: g.timestamp,
    /** The newest gossip that the sender has from each registry, by that registry's own clock. */
    heard: v.array(v.object({ node: g.nodeId, incarnation: g.incarnation, at: g.timestamp })),
    /** How old the sender's word of the primary is; absent when it has none that counts. */
    feedAge: v.optional(g.durationMs),
  }),
  v.object({
    kind: kind('vote-request'),
    fleet: g.fleetId,
    electorate,
    duty: g.leaseName,
    epoch: g.epoch,
    node: g.nodeId,
    at: g.timestamp,
    lease: g.durationMs,
    /** A sounding: asks what the vote would be and changes nothing. */
    preVote: v.boolean(),
    renew: v.boolean(),
    inSyncSet: v.array(g.nodeId),
    held: v.optional(leaseHolder),
    stepDown: v.boolean(),
    /** With `stepDown`: the epoch was never won, and never will be. */
    abandoned: v.optional(v.boolean()),
    /** The life of the voter that gave the newest vote in this epoch: a renewal that echoes it proves the win. */
    voterLife: v.optional(g.incarnation),
  }),
  v.object({
    kind: kind('vote'),
    duty: g.leaseName,
    epoch: g.epoch,
    voter: g.nodeId,
    /** Which life of the voter's process votes. */
    life: g.incarnation,
    at: g.timestamp,
    preVote: v.boolean(),
    granted: v.boolean(),
    recovering: v.boolean(),
    highest: g.epoch,
    electorate: v.optional(electorate),
    /** How long the lease that stands in the way still lasts. */
    left: v.optional(g.durationMs),
  }),
  v.object({
    kind: kind('bootstrap'),
    id: g.commandId,
    fleet: g.fleetId,
    stores: v.array(v.object({ node: g.nodeId, address: g.address })),
    electorate,
  }),
  v.object({
    kind: kind('bootstrapped'),
    id: g.commandId,
    node: g.nodeId,
    ok: v.boolean(),
    text: v.string(),
  }),
  v.object({
    kind: kind('replicate'),
    metadata: clusterMetadata,
    stamp: logPosition,
    prior: logPosition,
    puts: v.array(tableMutation),
  }),
  v.object({
    kind: kind('replicated'),
    node: g.nodeId,
    epoch: g.epoch,
    seq: g.seq,
    /** The epoch of the metadata that is on the disk with the write. */
    metadataEpoch: g.epoch,
    ok: v.boolean(),
    text: v.string(),
  }),
  v.object({
    kind: kind('replica-status'),
    node: g.nodeId,
    metadata: v.optional(clusterMetadata),
    stamp: logPosition,
    primary: v.boolean(),
    full: v.boolean(),
    /** Set once this store was asked to stop: its place among the copies goes to another. */
    leaving: v.optional(v.boolean()),
    digests: v.array(v.string()),
    at: g.timestamp,
  }),
  v.object({
    kind: kind('range-listing'),
    epoch: g.epoch,
    stamp: logPosition,
    range: v.number(),
    keys: v.array(v.object({ key: v.string(), stamp: logPosition })),
  }),
  v.object({
    kind: kind('fetch-entries'),
    node: g.nodeId,
    epoch: g.epoch,
    keys: v.array(v.string()),
  }),
  v.object({
    kind: kind('resync-entries'),
    epoch: g.epoch,
    metadata: clusterMetadata,
    /** The stamp that the store has from now on, if its digests are these. */
    settled: v.optional(v.object({ stamp: logPosition, digests: v.array(v.string()) })),
    entries: v.array(v.object({ key: v.string(), stamp: logPosition, data: v.string() })),
  }),
  v.object({
    kind: kind('subscribe'),
    registry: member,
    /** Whether its vote may be relied on: it remembers what it granted and is past its abstention. */
    voter: v.picklist(['ready', 'recovering', 'leaving']),
    at: g.timestamp,
    epoch: g.epoch,
    serial: g.seq,
    purged: g.seq,
    reports: v.array(
      v.object({
        node: g.nodeId,
        role: v.string(),
        incarnation: g.incarnation,
        open: v.boolean(),
        report: nodeStatus,
      }),
    ),
  }),
  v.object({
    kind: kind('feed'),
    at: g.timestamp,
    epoch: g.epoch,
    serial: g.seq,
    desired: v.optional(
      v.array(
        v.object({
          node: g.nodeId,
          generation: g.generation,
          hash: g.hash,
          failed: v.optional(g.hash),
        }),
      ),
    ),
    offers: v.array(configManifest),
    current: v.optional(configManifest),
    purges: v.array(purge),
    floor: g.seq,
    top: g.seq,
    verdicts: v.array(canaryResult),
    releases: v.array(rolloutState),
    electorate: v.optional(electorate),
    fleet: g.fleetId,
  }),
  /** What a store has on its disk while no primary is heard of. */
  hint,
  v.object({ kind: kind('piece-request'), node: g.nodeId, hashes: v.array(g.hash) }),
  v.object({ kind: kind('piece'), hash: g.hash, data: v.string() }),
  v.object({
    kind: kind('call'),
    id: g.commandId,
    verb: v.picklist(['apply', 'purge', 'ask', 'view', 'electorate', 'release']),
    body: v.string(),
    base: v.optional(g.generation),
  }),
  v.object({ kind: kind('called'), id: g.commandId, status: v.number(), body: v.string() }),
  v.object({
    kind: kind('trial'),
    service: g.serviceName,
    release: g.release,
    spent: v.number(),
    bad: v.number(),
    good: v.number(),
    seen: v.number(),
    state: v.picklist(['trial', 'good', 'bad']),
    at: g.timestamp,
    node: g.nodeId,
  }),
  v.object({ kind: kind('tried'), verdict: canaryResult, at: g.timestamp }),
  /** Cumulative counts of an edge's life since it heard of the order; sent while one stands and its term is not over. */
  v.object({
    kind: kind('tally'),
    node: g.nodeId,
    incarnation: g.incarnation,
    service: g.serviceName,
    /** The order that is counted for, and the state that the edge acts on. */
    order: g.seq,
    serial: g.seq,
    rows: v.array(releaseCounts),
    /** Requests under way at origins of other releases than the target. */
    inFlightOld: v.pipe(v.number(), v.integer(), v.minValue(0)),
    /** How much of the order's span is over by this edge's own clock; lets a new primary go on in time. */
    spentMs: g.durationMs,
  }),
] as const;
