/** Type and context of fault scenarios, and the selection of the processes they act on. */

import type { DeploymentPlan } from '../../deployment/schema.js';
import type { Fleet } from '../../fleet/fleet.js';
import type { Machine } from '../../fleet/machine.js';
import type { LoadGenerator } from '../../load/load-generator.js';
import type { RuleResult } from '../../report/report.js';
import { readFleetView } from '../fleet-view.js';

/** Fleet, load and output that a scenario works with. */
export interface ScenarioContext {
  readonly fleet: Fleet;
  readonly plan: DeploymentPlan;
  readonly folder: string;
  readonly print: (text: string) => void;
  readonly load: LoadGenerator;
}

/** Injects a fault; resolves when it is over, with the results of rules that only this scenario checks. */
export type FaultScenario = (context: ScenarioContext) => Promise<readonly RuleResult[]>;

/** Creates a scenario that is checked only by the rules common to all runs. */
export const withCommonRules =
  (injectFault: (context: ScenarioContext) => Promise<unknown>): FaultScenario =>
  async (context) => {
    await injectFault(context);
    return [];
  };

/** Returns the node that holds a lease; throws if none does. */
const leaseHolder = async (fleet: Fleet, lease: string): Promise<string> => {
  const view = await readFleetView(fleet);
  const holder = view?.holders.find((candidate) => candidate.duty === lease);
  if (holder === undefined) throw new Error(`the fleet view names no holder of the lease ${lease}`);
  return holder.node;
};

/** Returns the name of the service whose origins scenarios act on; empty if there are no origins. */
export const firstService = (plan: DeploymentPlan): string =>
  plan.deployment.origins[0]?.service ?? '';

/** Returns the name of the primary store. */
export const primaryStore = ({ fleet }: ScenarioContext): Promise<string> =>
  leaseHolder(fleet, 'primary');
/** Returns the name of the service leader of the first service. */
export const serviceLeader = ({ fleet, plan }: ScenarioContext): Promise<string> =>
  leaseHolder(fleet, `keeper:${firstService(plan)}`);
/** Returns the name of the first edge; empty if there is none. */
export const firstEdge = ({ fleet }: ScenarioContext): Promise<string> =>
  Promise.resolve(fleet.edges[0]?.name ?? '');
/** Returns the name of the registry on the first machine. */
export const firstRegistry = ({ fleet }: ScenarioContext): Promise<string> =>
  Promise.resolve(`${fleet.machines[0]?.name ?? ''}-registry`);

/** Returns the machines that run a registry: shields and stores. */
export const coreMachines = ({ fleet }: ScenarioContext): readonly Machine[] =>
  fleet.machines.filter((machine) => machine.kind !== 'edge');
