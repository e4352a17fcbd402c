/**
 * Judges a simulated fleet by the rules of the users' pages: some after each event of a process, some
 * at every sample of its state, the others over the whole run. Coverage counts how often each rule
 * was put to the test.
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
/** Violations that processes reported of themselves and that are shown. */
const maxSelfReported = 5;

/** Watches one fleet from its first event on. */
export class RuleChecker {
  /** Bad releases, as the run named them. */
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
    this.#scheduleSamples();
  }

  /** What was found so far. */
  get violations(): readonly string[] {
    return this.#log.violations;
  }

  /** Judges a process after one of its events. */
  checkProcess(process: SimulatedProcess): void {
    this.#processRules.check(process);
  }

  /** Judges the whole run; gives all that was found in it. */
  finish(): readonly string[] {
    this.#sampledRules.sample();
    for (const text of this.#world.selfReportedViolations.slice(0, maxSelfReported))
      this.#log.add('fence', text);
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

  #scheduleSamples(): void {
    this.#sampledRules.sample();
    this.#world.eventQueue.schedule(sampleIntervalMs, () => this.#scheduleSamples());
  }
}
