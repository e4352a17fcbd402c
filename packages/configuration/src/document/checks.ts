/** Validation of a document beyond its schema: unique names, borrowing between classes, shares, rollout policy. */

import type { ServiceClassName, ServiceName } from '@switchwheel/types';
import type { ConfigurationHeader, RolloutPolicy, ServiceClass } from './schema.js';
import { type ValidationIssue, validationIssue } from './validation-issue.js';

type ClassTable = ReadonlyMap<ServiceClassName, ServiceClass>;

/** Maximum total gate time of all waves. */
const maxGatesMs = 500;
/** Tolerance for rounding errors in sums of decimal shares. */
const shareTolerance = 1e-9;

const checkUniqueNames = (
  list: readonly { readonly name: string }[],
  listPath: string,
  issues: ValidationIssue[],
): void => {
  const firstIndex = new Map<string, number>();
  for (const [index, { name }] of list.entries()) {
    const earlierIndex = firstIndex.get(name);
    if (earlierIndex === undefined) {
      firstIndex.set(name, index);
      continue;
    }
    const text = `the name ${name} is also that of ${listPath}.${earlierIndex}`;
    issues.push(validationIssue(`${listPath}.${index}.name`, text));
  }
};

/** Chain of `lendsTo` entries from one class to another; undefined if there is none. */
const lendingPath = (
  classes: ClassTable,
  from: ServiceClassName,
  to: ServiceClassName,
  visited: Set<ServiceClassName>,
): readonly ServiceClassName[] | undefined => {
  for (const next of classes.get(from)?.lendsTo ?? []) {
    if (next === to) return [from, next];
    if (visited.has(next)) continue;
    visited.add(next);
    const remainingPath = lendingPath(classes, next, to, visited);
    if (remainingPath !== undefined) return [from, ...remainingPath];
  }
  return undefined;
};

/** Rejects cycles of `lendsTo` in which a class may wait for a slower one longer than its latency target. */
const checkLendingCycles = (
  classes: ClassTable,
  declaredClasses: readonly ServiceClass[],
  issues: ValidationIssue[],
): void => {
  for (const [index, { name, latencyMs }] of declaredClasses.entries()) {
    if (latencyMs === undefined) continue;
    const cycle = lendingPath(classes, name, name, new Set());
    const slower = cycle?.find(
      (lender) => (classes.get(lender)?.latencyMs ?? Number.POSITIVE_INFINITY) > latencyMs,
    );
    if (cycle === undefined || slower === undefined) continue;
    const slowerMs = classes.get(slower)?.latencyMs;
    const reason = slowerMs === undefined ? 'promises nothing' : `takes up to ${slowerMs} ms`;
    issues.push(
      validationIssue(
        `classes.${index}.lendsTo`,
        `the ring ${cycle.join(' > ')} breaks the promise of ${latencyMs} ms: ${slower} ${reason}`,
      ),
    );
  }
};

const checkLenders = (
  classes: ClassTable,
  { name, lendsTo }: ServiceClass,
  classIndex: number,
  issues: ValidationIssue[],
): void => {
  for (const [index, borrower] of lendsTo.entries()) {
    const path = `classes.${classIndex}.lendsTo.${index}`;
    if (!classes.has(borrower)) issues.push(validationIssue(path, `no class is named ${borrower}`));
    else if (borrower === name)
      issues.push(validationIssue(path, 'a class does not lend to itself'));
  }
};

const checkRolloutPolicy = ({ waves, gateMs }: RolloutPolicy, issues: ValidationIssue[]): void => {
  if ((waves.length - 1) * gateMs > maxGatesMs)
    issues.push(
      validationIssue('rollout.gateMs', 'the gates of all waves may take 500 ms at most'),
    );
  if (waves.at(-1) !== 1)
    issues.push(
      validationIssue('rollout.waves', 'the last wave reaches all nodes: its share is 1'),
    );
};

/** Validates a header beyond its schema; adds the issues to the list. */
export const checkHeader = (header: ConfigurationHeader, issues: ValidationIssue[]): void => {
  checkUniqueNames(header.classes, 'classes', issues);
  checkUniqueNames(header.services, 'services', issues);
  const classes = new Map(header.classes.map((declared) => [declared.name, declared]));
  for (const [index, declared] of header.classes.entries())
    checkLenders(classes, declared, index, issues);
  checkLendingCycles(classes, header.classes, issues);
  checkRolloutPolicy(header.rollout, issues);
};

/** Validates that the shares of the classes at each service add up to at most 1. */
export const checkClassShares = (
  classNamesByService: ReadonlyMap<ServiceName, ReadonlySet<ServiceClassName>>,
  classes: ClassTable,
  issues: ValidationIssue[],
): void => {
  for (const [service, names] of classNamesByService) {
    const sum = [...names].reduce((total, name) => total + (classes.get(name)?.share ?? 0), 0);
    if (sum <= 1 + shareTolerance) continue;
    const text = `at the service ${service} the shares of ${[...names].join(', ')} add up to ${sum.toFixed(3)}, over the whole`;
    issues.push(validationIssue('classes', text));
  }
};
