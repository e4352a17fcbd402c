/** State of a fleet as reported by its registries. */

import * as v from 'valibot';
import type { Fleet } from '../fleet/fleet.js';

const fleetViewSchema = v.object({
  generation: v.number(),
  feedAgeMs: v.nullable(v.number()),
  nodes: v.array(
    v.object({
      node: v.string(),
      role: v.string(),
      open: v.boolean(),
      generation: v.optional(v.number(), 0),
      registry: v.string(),
    }),
  ),
  holders: v.array(v.object({ duty: v.string(), node: v.string(), epoch: v.number() })),
  origins: v.array(v.object({ instance: v.string(), service: v.string(), state: v.string() })),
  verdicts: v.array(v.object({ service: v.string(), release: v.string(), state: v.string() })),
});

/** Response of `GET /v1/fleet`, reduced to the members that devfleet uses. */
export type FleetView = v.InferOutput<typeof fleetViewSchema>;

/** Reads the fleet view from the first registry that answers; undefined if none does or the view is invalid. */
export const readFleetView = async (fleet: Fleet): Promise<FleetView | undefined> => {
  const parsed = v.safeParse(fleetViewSchema, await fleet.readView('/v1/fleet'));
  return parsed.success ? parsed.output : undefined;
};

/** Returns the generation in force; 0 if no registry answers. */
export const generationInForce = async (fleet: Fleet): Promise<number> =>
  (await readFleetView(fleet))?.generation ?? 0;

/** Returns the nodes of connected edges and shields. */
export const connectedProxies = (view: FleetView): FleetView['nodes'] =>
  view.nodes.filter(({ open, role }) => open && (role === 'edge' || role === 'shield'));
