/** What every fault scenario is given, and how it finds the process that it acts on. */

import type { DeploymentPlan } from '../../deployment/schema.js';
import type { Fleet } from '../../fleet/fleet.js';
import type { Machine } from '../../fleet/machine.js';
import type { LoadGenerator } from '../../load/load-generator.js';
import type { RuleResult } from '../../report/report.js';
import { readFleetView } from '../fleet-view.js';

/** What a scenario works with. */
export interface ScenarioContext {
  readonly fleet: Fleet;
  readonly plan: DeploymentPlan;
  readonly folder: string;
  readonly print: (text: string) => void;
  readonly load: LoadGenerator;
}

/** Injects one fault; settles when the fault is over, with the results of rules that only this scenario checks. */
export type FaultScenario = (context: ScenarioContext) => Promise<readonly RuleResult[]>;

/** A scenario that is judged by the rules of every run alone. */
export const withCommonRules =
  (injectFault: (context: ScenarioContext) => Promise<unknown>): FaultScenario =>
  async (context) => {
    await injectFault(context);
    return [];
  };

/** The node that holds a lease; throws if none does. */
const leaseHolder = async (fleet: Fleet, lease: string): Promise<string> => {
  const view = await readFleetView(fleet);
  const holder = view?.holders.find((candidate) => candidate.duty === lease);
  if (holder === undefined) throw new Error(`nobody holds ${lease}`);
  return holder.node;
};

/** The name of the service whose origins scenarios act on. */
export const firstService = (plan: DeploymentPlan): string =>
  plan.deployment.origins[0]?.service ?? '';

/** The store that holds the primary's lease. */
export const primaryStore = ({ fleet }: ScenarioContext): Promise<string> =>
  leaseHolder(fleet, 'primary');
/** The shield that leads the first service. */
export const serviceLeader = ({ fleet, plan }: ScenarioContext): Promise<string> =>
  leaseHolder(fleet, `keeper:${firstService(plan)}`);
/** The first edge. */
export const firstEdge = ({ fleet }: ScenarioContext): Promise<string> =>
  Promise.resolve(fleet.edges[0]?.name ?? '');
/** The registry on the first machine. */
export const firstRegistry = ({ fleet }: ScenarioContext): Promise<string> =>
  Promise.resolve(`${fleet.machines[0]?.name ?? ''}-registry`);

/** All machines that run a registry. */
export const coreMachines = ({ fleet }: ScenarioContext): readonly Machine[] =>
  fleet.machines.filter((machine) => machine.kind !== 'edge');
