import type { DeploymentPlan } from '../../deployment/schema.js';
import type { Fleet, Machine } from '../../fleet/fleet.js';
import type { LoadGenerator } from '../../load/load-generator.js';
import type { RuleResult } from '../../report/report.js';
import { readFleetView } from '../fleet-setup.js';

/** What causes of failure work with. */
export interface ScenarioContext {
  readonly fleet: Fleet;
  readonly plan: DeploymentPlan;
  readonly folder: string;
  readonly print: (text: string) => void;
  readonly load: LoadGenerator;
}

/** A failure of real processes, caused once; it settles when the failure itself is over, with what is to be held of it alone. */
export type FaultScenario = (stage: ScenarioContext) => Promise<readonly RuleResult[]>;
/** One that is judged by the rules that hold for all. */
export const withCommonRules =
  (injectFault: (stage: ScenarioContext) => Promise<unknown>): FaultScenario =>
  async (stage) => {
    await injectFault(stage);
    return [];
  };

const leaseHolder = async (fleet: Fleet, lease: string): Promise<string> => {
  const view = await readFleetView(fleet);
  const found = view?.holders.find((one) => one.duty === lease);
  if (found === undefined) throw new Error(`nobody holds ${lease}`);
  return found.node;
};

export const firstService = (plan: DeploymentPlan): string =>
  plan.deployment.origins[0]?.service ?? '';

export const primaryStore = ({ fleet }: ScenarioContext): Promise<string> =>
  leaseHolder(fleet, 'primary');
export const serviceLeader = ({ fleet, plan }: ScenarioContext): Promise<string> =>
  leaseHolder(fleet, `keeper:${firstService(plan)}`);
export const firstEdge = ({ fleet }: ScenarioContext): Promise<string> =>
  Promise.resolve(fleet.edges[0]?.name ?? '');
export const firstRegistry = ({ fleet }: ScenarioContext): Promise<string> =>
  Promise.resolve(`${fleet.machines[0]?.name ?? ''}-registry`);

export const untimedResult = (rule: string, held: boolean, text: string): RuleResult => ({
  rule,
  isHeld: held,
  text,
  isTimed: false,
});

export const coreMachines = ({ fleet }: ScenarioContext): readonly Machine[] =>
  fleet.machines.filter((one) => one.kind !== 'edge');
