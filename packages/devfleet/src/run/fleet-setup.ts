import { mkdirSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import * as v from 'valibot';
import type { DeploymentPlan } from '../deployment/schema.js';
import { Fleet, waitUntil } from '../fleet/fleet.js';
import { runOperatorCommand } from './operator-command.js';

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
export type FleetView = v.InferOutput<typeof fleetViewSchema>;

export const readFleetView = async (fleet: Fleet): Promise<FleetView | undefined> => {
  const read = v.safeParse(fleetViewSchema, await fleet.readView('/v1/fleet'));
  return read.success ? read.output : undefined;
};

/** How long a slow machine may take for a step; no verdict hangs on it. */
export const stepTimeoutMs = 60_000;

/** Starts a fleet, founds it and hands it its description, all by the command line. */
export const startFleet = async (
  plan: DeploymentPlan,
  folder: string,
  print: (text: string) => void,
  canInjectFaults = false,
): Promise<Fleet> => {
  const fleet = new Fleet(plan.deployment, folder, canInjectFaults);
  const since = performance.now();
  await fleet.start();
  print(
    `${fleet.machines.length} machines and ${fleet.origins.length} origins started in ${Math.round(performance.now() - since)} ms`,
  );
  const core = plan.deployment.shields + plan.deployment.stores;
  const whole = await waitUntil(stepTimeoutMs, async () => {
    const view = await readFleetView(fleet);
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
  const founded = await waitUntil(stepTimeoutMs, async () => {
    const done = await runOperatorCommand(fleet.registries, args);
    if (done.exitCode === 0) print(done.stdout.trim());
    return done.exitCode === 0;
  });
  if (!founded) throw new Error('the fleet was not founded in a minute');
  const applied = await waitUntil(stepTimeoutMs, async () => {
    const done = await runOperatorCommand(fleet.registries, [
      'apply',
      plan.configurationFile,
      '--id',
      `first-${plan.deployment.name}`,
    ]);
    if (done.exitCode === 0) print(done.stdout.trim());
    return done.exitCode === 0;
  });
  if (!applied) throw new Error('the first description was not accepted in a minute');
  if (!(await fleet.waitUntilEdgesReady(stepTimeoutMs)))
    throw new Error('not every edge was ready in a minute');
  const kept = await waitUntil(stepTimeoutMs, async () => {
    const view = await readFleetView(fleet);
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
export const writeConfiguration = (
  plan: DeploymentPlan,
  folder: string,
  name: string,
  overrides: object,
): string => {
  mkdirSync(folder, { recursive: true });
  const file = join(folder, name);
  writeFileSync(
    file,
    JSON.stringify({ ...v.parse(v.looseObject({}), plan.configuration), ...overrides }),
  );
  return file;
};

/** Writes a description with a change in it, for a new generation. */
export const writeChangedConfiguration = (
  plan: DeploymentPlan,
  folder: string,
  name: string,
  queueLimit: number,
): string => {
  const { services } = v.parse(
    v.looseObject({ services: v.array(v.looseObject({})) }),
    plan.configuration,
  );
  return writeConfiguration(plan, folder, name, {
    services: services.map((one) => ({ ...one, waitlist: queueLimit })),
  });
};
