import type { Plan } from '../../deployment/schema.js';
import type { Fleet, Machine } from '../../fleet/fleet.js';
import type { Callers } from '../../load/callers.js';
import type { Verdict } from '../../report/report.js';
import { lookAt } from '../stage.js';

/** What causes of failure work with. */
export interface Stage {
  readonly fleet: Fleet;
  readonly plan: Plan;
  readonly folder: string;
  readonly say: (text: string) => void;
  readonly callers: Callers;
}

/** A failure of real processes, caused once; it settles when the failure itself is over, with what is to be held of it alone. */
export type Cause = (stage: Stage) => Promise<readonly Verdict[]>;
/** One that is judged by the rules that hold for all. */
export const plain =
  (act: (stage: Stage) => Promise<unknown>): Cause =>
  async (stage) => {
    await act(stage);
    return [];
  };

const holderOf = async (fleet: Fleet, duty: string): Promise<string> => {
  const view = await lookAt(fleet);
  const found = view?.holders.find((one) => one.duty === duty);
  if (found === undefined) throw new Error(`nobody holds ${duty}`);
  return found.node;
};

export const firstService = (plan: Plan): string => plan.deployment.origins[0]?.service ?? '';

export const primary = ({ fleet }: Stage): Promise<string> => holderOf(fleet, 'primary');
export const keeper = ({ fleet, plan }: Stage): Promise<string> =>
  holderOf(fleet, `keeper:${firstService(plan)}`);
export const edge = ({ fleet }: Stage): Promise<string> =>
  Promise.resolve(fleet.edges[0]?.name ?? '');
export const registry = ({ fleet }: Stage): Promise<string> =>
  Promise.resolve(`${fleet.machines[0]?.name ?? ''}-registry`);

export const verdict = (rule: string, held: boolean, text: string): Verdict => ({
  rule,
  held,
  text,
  timed: false,
});

export const core = ({ fleet }: Stage): readonly Machine[] =>
  fleet.machines.filter((one) => one.kind !== 'edge');
