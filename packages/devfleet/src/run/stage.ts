import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import * as v from 'valibot';
import type { Plan } from '../deployment/schema.js';
import { Fleet, until } from '../fleet/fleet.js';
import { operate } from './cli.js';

const fleetView = v.object({
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
export type FleetView = v.InferOutput<typeof fleetView>;

export const lookAt = async (fleet: Fleet): Promise<FleetView | undefined> => {
  const read = v.safeParse(fleetView, await fleet.view('/v1/fleet'));
  return read.success ? read.output : undefined;
};

/** How long a slow machine may take for a step; no verdict hangs on it. */
export const patience = 60_000;

/** Starts a fleet, founds it and hands it its description, all by the command line. */
export const setUp = async (
  plan: Plan,
  folder: string,
  say: (text: string) => void,
  faulty = false,
): Promise<Fleet> => {
  const fleet = new Fleet(plan.deployment, folder, faulty);
  const since = performance.now();
  await fleet.start();
  say(
    `${fleet.machines.length} machines and ${fleet.origins.length} origins started in ${Math.round(performance.now() - since)} ms`,
  );
  const core = plan.deployment.shields + plan.deployment.stores;
  const whole = await until(patience, async () => {
    const view = await lookAt(fleet);
    return (
      view !== undefined &&
      view.nodes.filter((one) => one.open && one.role === 'registry').length === core &&
      view.nodes.filter((one) => one.open && one.role === 'store').length === plan.deployment.stores
    );
  });
  if (!whole) throw new Error('the core did not find itself in a minute');
  const named = fleet.machines.filter((one) => one.kind !== 'edge');
  const args = [
    'found',
    plan.deployment.name,
    ...named.flatMap((one) => ['--voter', `${one.name}-registry`]),
    ...named.filter((one) => one.kind === 'store').flatMap((one) => ['--store', one.name]),
  ];
  const founded = await until(patience, async () => {
    const done = await operate(fleet.registries, args);
    if (done.code === 0) say(done.out.trim());
    return done.code === 0;
  });
  if (!founded) throw new Error('the fleet was not founded in a minute');
  const applied = await until(patience, async () => {
    const done = await operate(fleet.registries, [
      'apply',
      plan.file,
      '--id',
      `first-${plan.deployment.name}`,
    ]);
    if (done.code === 0) say(done.out.trim());
    return done.code === 0;
  });
  if (!applied) throw new Error('the first description was not accepted in a minute');
  if (!(await fleet.allReady(patience))) throw new Error('not every edge was ready in a minute');
  const kept = await until(patience, async () => {
    const view = await lookAt(fleet);
    return (
      view !== undefined &&
      new Set(view.holders.map((one) => one.duty)).size >=
        new Set(plan.deployment.origins.map((one) => one.service)).size + 1
    );
  });
  if (!kept) throw new Error('not every service had a keeper in a minute');
  return fleet;
};

/** Writes the deployment's description to a file, with some parts of it set anew. */
export const written = (plan: Plan, folder: string, name: string, parts: object): string => {
  mkdirSync(folder, { recursive: true });
  const file = join(folder, name);
  writeFileSync(
    file,
    JSON.stringify({ ...v.parse(v.looseObject({}), plan.description), ...parts }),
  );
  return file;
};

/** Writes a description with a change in it, for a new generation. */
export const changed = (plan: Plan, folder: string, name: string, waitlist: number): string => {
  const { services } = v.parse(
    v.looseObject({ services: v.array(v.looseObject({})) }),
    plan.description,
  );
  return written(plan, folder, name, { services: services.map((one) => ({ ...one, waitlist })) });
};
