/** What processes tell each other about nodes: who they are, how they do, which registry serves them. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

/** The health of a node or of a part of it, with its own parts below it. */
export interface Health {
  readonly name: string;
  readonly healthy: boolean;
  readonly text: string;
  readonly parts: readonly Health[];
}
/** Schema of {@link Health}. */
export const health: v.GenericSchema<Health> = v.object({
  name: v.string(),
  healthy: v.boolean(),
  text: v.string(),
  parts: v.array(v.lazy(() => health)),
});

/** The program that a node runs. */
export const role = v.picklist(['edge', 'shield', 'registry', 'store']);

/** Which configuration a node runs, how far it is with applying one, and how healthy it is. */
export const nodeStatus = v.object({
  generation: types.generation,
  hash: v.optional(types.hash),
  phase: v.picklist(['none', 'applying', 'applied', 'failed']),
  failed: v.optional(
    v.object({ generation: types.generation, hash: types.hash, text: v.string() }),
  ),
  health: health,
  ready: v.boolean(),
});
/** See {@link nodeStatus}. */
export type NodeStatus = v.InferOutput<typeof nodeStatus>;

/** A node of the fleet: its name, role, zone and addresses. */
export const member = v.object({
  node: types.nodeId,
  role,
  /** The zone of its machine. */
  area: types.zoneName,
  /** Where other processes connect to it. */
  address: types.address,
  /** Where clients, origins or operators connect to it over HTTP. */
  door: v.optional(types.address),
  /** Where operators' tools read its metrics and state. */
  admin: v.optional(types.address),
  incarnation: types.incarnation,
});
/** See {@link member}. */
export type Member = v.InferOutput<typeof member>;

/** A node's session as the registry that keeps it reports it. */
export const sessionRecord = v.object({
  member,
  report: nodeStatus,
  registry: types.nodeId,
  /** Grows with each heartbeat of the node. */
  seq: types.seq,
  /** Time since the node's last heartbeat. */
  age: types.durationMs,
  open: v.boolean(),
});
/** See {@link sessionRecord}. */
export type SessionRecord = v.InferOutput<typeof sessionRecord>;
