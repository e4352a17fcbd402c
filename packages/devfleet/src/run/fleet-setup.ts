/** Sets up a fleet as an operator would: starts its processes, bootstraps the cluster and applies its first configuration. */

import type { DeploymentPlan } from '../deployment/schema.js';
import { Fleet } from '../fleet/fleet.js';
import { waitUntil } from '../fleet/wait.js';
import { readFleetView } from './fleet-view.js';
import { runOperatorCommand } from './operator-command.js';

/** Time limit of each setup step; generous for slow machines. */
export const stepTimeoutMs = 60_000;

const startProcesses = async (fleet: Fleet, print: (text: string) => void): Promise<void> => {
  const startedAt = performance.now();
  await fleet.start();
  const elapsedMs = Math.round(performance.now() - startedAt);
  print(
    `${fleet.machines.length} machines and ${fleet.origins.length} origins started in ${elapsedMs} ms`,
  );
};

const waitForCore = async (fleet: Fleet, plan: DeploymentPlan): Promise<void> => {
  const { shields, stores } = plan.deployment;
  const isConnected = await waitUntil(stepTimeoutMs, async () => {
    const view = await readFleetView(fleet);
    if (view === undefined) return false;
    const count = (role: string): number =>
      view.nodes.filter((node) => node.open && node.role === role).length;
    return count('registry') === shields + stores && count('store') === stores;
  });
  if (!isConnected)
    throw new Error('not all registries and stores of the core connected within one minute');
};

/** Retries an operator command until it succeeds; false if it does not within the time. */
const runUntilAccepted = (
  fleet: Fleet,
  args: readonly string[],
  print: (text: string) => void,
): Promise<boolean> =>
  waitUntil(stepTimeoutMs, async () => {
    const { exitCode, stdout } = await runOperatorCommand(fleet.registries, args);
    if (exitCode === 0) print(stdout.trim());
    return exitCode === 0;
  });

const bootstrapArguments = (fleet: Fleet, plan: DeploymentPlan): readonly string[] => {
  const core = fleet.machines.filter(({ kind }) => kind !== 'edge');
  const stores = core.filter(({ kind }) => kind === 'store');
  return [
    'found',
    plan.deployment.name,
    ...core.flatMap(({ name }) => ['--voter', `${name}-registry`]),
    ...stores.flatMap(({ name }) => ['--store', name]),
  ];
};

const waitForServiceLeaders = async (fleet: Fleet, plan: DeploymentPlan): Promise<void> => {
  const services = new Set(plan.deployment.origins.map(({ service }) => service));
  const areElected = await waitUntil(stepTimeoutMs, async () => {
    const view = await readFleetView(fleet);
    // A lease for each service, and one for the primary.
    return (
      view !== undefined && new Set(view.holders.map(({ duty }) => duty)).size >= services.size + 1
    );
  });
  if (!areElected) throw new Error('not every service had a leader within one minute');
};

/** Starts a fleet and waits until it serves its first configuration; throws if a step exceeds its time limit. */
export const startFleet = async (
  plan: DeploymentPlan,
  folder: string,
  print: (text: string) => void,
  canInjectFaults = false,
): Promise<Fleet> => {
  const fleet = new Fleet(plan.deployment, folder, canInjectFaults);
  await startProcesses(fleet, print);
  await waitForCore(fleet, plan);
  if (!(await runUntilAccepted(fleet, bootstrapArguments(fleet, plan), print)))
    throw new Error('the cluster was not bootstrapped within one minute');
  const applyArguments = ['apply', plan.configurationFile, '--id', `first-${plan.deployment.name}`];
  if (!(await runUntilAccepted(fleet, applyArguments, print)))
    throw new Error('the first configuration was not accepted within one minute');
  if (!(await fleet.waitUntilEdgesReady(stepTimeoutMs)))
    throw new Error('not every edge was ready within one minute');
  await waitForServiceLeaders(fleet, plan);
  return fleet;
};
