/**
 * Checks a simulated fleet against the documented rules: some after each event of a process, some
 * at each sample of its state, the others at the end of the run. Coverage counts how often each
 * rule was exercised.
 */

import type { SimulatedCallers } from '../processes/callers.js';
import type { SimulatedProcess } from '../world/process.js';
import type { World } from '../world/world.js';
import type { FinishedRun } from './finished-run.js';
import { checkOrigins } from './origin-rules.js';
import { ProcessRules } from './process-rules.js';
import { checkExecutions, checkResults, checkUnanswered } from './request-rules.js';
import { SampledRules } from './sampled-rules.js';
import { ViolationLog } from './violation-log.js';
import { checkWrites } from './write-rules.js';

const sampleIntervalMs = 25;
/** Maximum number of self-reported violations in the result. */
const maxSelfReported = 5;

/** Checks one fleet from its first event on. */
export class RuleChecker {
  /** Releases whose origins fail on purpose. */
  readonly badReleases = new Set<string>();
  readonly #world: World;
  readonly #callers: SimulatedCallers;
  readonly #log: ViolationLog;
  readonly #processRules: ProcessRules;
  readonly #sampledRules: SampledRules;

  constructor(world: World, callers: SimulatedCallers) {
    this.#world = world;
    this.#callers = callers;
    this.#log = new ViolationLog(() => world.eventQueue.now);
    this.#processRules = new ProcessRules(this.#log);
    this.#sampledRules = new SampledRules(world, this.#log);
    const { reachability } = this.#sampledRules;
    world.afterEvent = (process) => this.checkProcess(process);
    world.isUnreachable = (proxy) => reachability.unreachable.has(proxy);
    callers.onSent = (request) => {
      request.serviceAvailableForMs = this.#sampledRules.serviceAvailableForMs(request);
    };
    callers.onReply = (request) => this.#sampledRules.checkReply(request);
    this.#scheduleSampling();
  }

  /** Violations found so far. */
  get violations(): readonly string[] {
    return this.#log.violations;
  }

  /** Checks a process after one of its events. */
  checkProcess(process: SimulatedProcess): void {
    this.#processRules.check(process);
  }

  /** Checks the rules of the whole run; returns all violations. */
  finish(): readonly string[] {
    this.#sampledRules.sample();
    for (const text of this.#world.selfReportedViolations.slice(0, maxSelfReported))
      this.#log.add('lease fencing', text);
    const run: FinishedRun = {
      world: this.#world,
      callers: this.#callers,
      violations: this.#log,
      badReleases: this.badReleases,
    };
    checkExecutions(run);
    checkResults(run);
    checkUnanswered(run);
    checkWrites(run);
    checkOrigins(run);
    return this.#log.violations;
  }

  #scheduleSampling(): void {
    this.#sampledRules.sample();
    this.#world.eventQueue.schedule(sampleIntervalMs, () => this.#scheduleSampling());
  }
}
