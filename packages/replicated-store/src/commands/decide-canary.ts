/**
 * Decides what is recorded of a canary from a service leader's reports.
 */

import { type ControlState, controlKeys, putRecord } from '@switchwheel/configuration';
import type { Command } from './command.js';
import { type Decision, noChange } from './decision.js';

/** Takes a service leader's counts of a canary into its record: counts only grow, and a bad result stays. */
export const decideCanary = (
  control: ControlState,
  command: Extract<Command, { kind: 'recordCanary' }>,
): Decision => {
  const { service, release, spent, bad, good, seen, state } = command.report;
  const key = controlKeys.canaryResult(service, release);
  const known = control.canaryResults.get(key);
  // Counts only grow, and a bad verdict stays.
  const next = {
    service,
    release,
    spent: Math.max(spent, known?.spent ?? 0),
    bad: Math.max(bad, known?.bad ?? 0),
    good: Math.max(good, known?.good ?? 0),
    seen: Math.max(seen, known?.seen ?? 0),
    state:
      known?.state === 'bad'
        ? ('bad' as const)
        : state === 'trial' && known?.state === 'good'
          ? ('good' as const)
          : state,
  };
  if (
    known !== undefined &&
    known.spent === next.spent &&
    known.bad === next.bad &&
    known.state === next.state
  )
    return noChange;
  return { ...noChange, puts: [putRecord(key, next)] };
};
