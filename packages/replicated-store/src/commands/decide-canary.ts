/**
 * Decides the recorded result of a canary from the reports of service leaders.
 */

import { type ControlState, controlKeys, putRecord } from '@switchwheel/configuration';
import type { Command } from './command.js';
import { type Decision, noChange } from './decision.js';

/** Merges a service leader's canary counts into the record: counts never decrease, and a bad result is final. */
export const decideCanary = (
  control: ControlState,
  command: Extract<Command, { kind: 'recordCanary' }>,
): Decision => {
  const { service, release, spent, bad, good, seen, state } = command.report;
  const key = controlKeys.canaryResult(service, release);
  const recorded = control.canaryResults.get(key);
  const next = {
    service,
    release,
    spent: Math.max(spent, recorded?.spent ?? 0),
    bad: Math.max(bad, recorded?.bad ?? 0),
    good: Math.max(good, recorded?.good ?? 0),
    seen: Math.max(seen, recorded?.seen ?? 0),
    state:
      recorded?.state === 'bad'
        ? ('bad' as const)
        : state === 'trial' && recorded?.state === 'good'
          ? ('good' as const)
          : state,
  };
  if (
    recorded !== undefined &&
    recorded.spent === next.spent &&
    recorded.bad === next.bad &&
    recorded.state === next.state
  )
    return noChange;
  return { ...noChange, puts: [putRecord(key, next)] };
};
