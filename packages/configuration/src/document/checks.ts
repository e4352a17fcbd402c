import type { ClassName, ServiceName } from '@switchwheel/types';
import { type ValidationIssue, validationIssue } from './validation-issue.js';
import type { ServiceClass, ConfigurationHeader } from './schema.js';

const checkUniqueNames = (
  list: readonly { readonly name: string }[],
  at: string,
  faults: ValidationIssue[],
): void => {
  const seen = new Map<string, number>();
  for (const [index, one] of list.entries()) {
    const first = seen.get(one.name);
    if (first === undefined) seen.set(one.name, index);
    else
      faults.push(
        validationIssue(
          `${at}.${index}.name`,
          `the name ${one.name} is also that of ${at}.${first}`,
        ),
      );
  }
};

/** Rings of lending in which some lender would wait for answers longer than its promise. */
const checkLendingCycles = (
  groups: ReadonlyMap<ClassName, ServiceClass>,
  order: readonly ServiceClass[],
  faults: ValidationIssue[],
): void => {
  const reach = (
    from: ClassName,
    goal: ClassName,
    seen: Set<ClassName>,
  ): readonly ClassName[] | undefined => {
    for (const next of groups.get(from)?.lendsTo ?? []) {
      if (next === goal) return [from, next];
      if (seen.has(next)) continue;
      seen.add(next);
      const rest = reach(next, goal, seen);
      if (rest !== undefined) return [from, ...rest];
    }
    return undefined;
  };
  for (const [index, one] of order.entries()) {
    if (one.latencyMs === undefined) continue;
    const ring = reach(one.name, one.name, new Set());
    if (ring === undefined) continue;
    const slow = ring.find(
      (name) => (groups.get(name)?.latencyMs ?? Number.POSITIVE_INFINITY) > (one.latencyMs ?? 0),
    );
    if (slow !== undefined) {
      const long = groups.get(slow)?.latencyMs;
      faults.push(
        validationIssue(
          `classes.${index}.lendsTo`,
          `the ring ${ring.join(' > ')} breaks the promise of ${one.latencyMs} ms: ${slow} ${long === undefined ? 'promises nothing' : `takes up to ${long} ms`}`,
        ),
      );
    }
  }
};

/** Checks the head against itself. */
export const checkHeader = (head: ConfigurationHeader, faults: ValidationIssue[]): void => {
  checkUniqueNames(head.classes, 'classes', faults);
  checkUniqueNames(head.services, 'services', faults);
  const groups = new Map(head.classes.map((one) => [one.name, one]));
  for (const [index, one] of head.classes.entries()) {
    for (const [place, name] of one.lendsTo.entries()) {
      if (!groups.has(name))
        faults.push(
          validationIssue(`classes.${index}.lendsTo.${place}`, `no class is named ${name}`),
        );
      else if (name === one.name)
        faults.push(
          validationIssue(`classes.${index}.lendsTo.${place}`, 'a class does not lend to itself'),
        );
    }
  }
  checkLendingCycles(groups, head.classes, faults);
  const policy = head.rollout;
  if ((policy.waves.length - 1) * policy.gateMs > 500)
    faults.push(
      validationIssue('rollout.gateMs', 'the gates of all waves may take 500 ms at most'),
    );
  if (policy.waves.at(-1) !== 1)
    faults.push(
      validationIssue('rollout.waves', 'the last wave reaches all nodes: its share is 1'),
    );
};

/** The shares of the classes that meet at one service may not be more than the whole. */
export const checkClassShares = (
  used: ReadonlyMap<ServiceName, ReadonlySet<ClassName>>,
  groups: ReadonlyMap<ClassName, ServiceClass>,
  faults: ValidationIssue[],
): void => {
  for (const [service, names] of used) {
    const sum = [...names].reduce((total, name) => total + (groups.get(name)?.share ?? 0), 0);
    if (sum > 1 + 1e-9)
      faults.push(
        validationIssue(
          'classes',
          `at the service ${service} the shares of ${[...names].join(', ')} add up to ${sum.toFixed(3)}, over the whole`,
        ),
      );
  }
};
