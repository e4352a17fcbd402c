/** Records on nodes: identity, status and session. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

/** Health of a node or of one of its parts, with the health of the parts below it. */
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

/** Role of a node, which decides the program that it runs. */
export const role = v.picklist(['edge', 'shield', 'registry', 'store']);

/** Configuration that a node runs, progress of applying a new one, and health. */
export const nodeStatus = v.object({
  generation: types.generation,
  hash: v.optional(types.hash),
  phase: v.picklist(['none', 'applying', 'applied', 'failed']),
  failed: v.optional(
    v.object({ generation: types.generation, hash: types.hash, text: v.string() }),
  ),
  health,
  ready: v.boolean(),
});
/** Value of {@link nodeStatus}. */
export type NodeStatus = v.InferOutput<typeof nodeStatus>;

/** Node of the fleet: its name, role, zone and addresses. */
export const member = v.object({
  node: types.nodeId,
  role,
  /** Zone of its machine. */
  area: types.zoneName,
  /** Address for channels from other processes. */
  address: types.address,
  /** HTTP address for clients, origins or operators. */
  door: v.optional(types.address),
  /** HTTP address of its metrics and state, for operators' tools. */
  admin: v.optional(types.address),
  incarnation: types.incarnation,
});
/** Value of {@link member}. */
export type Member = v.InferOutput<typeof member>;

/** Session of a node, as reported by the registry that holds it. */
export const sessionRecord = v.object({
  member,
  report: nodeStatus,
  registry: types.nodeId,
  /** Sequence number of the node's last heartbeat. */
  seq: types.seq,
  /** Time since the node's last heartbeat. */
  age: types.durationMs,
  open: v.boolean(),
});
/** Value of {@link sessionRecord}. */
export type SessionRecord = v.InferOutput<typeof sessionRecord>;
