import { type LeaseName, increment, toServiceName } from '@switchwheel/types';
import { holdsLease } from '@switchwheel/election';
import { hasExtraAttemptBudget } from '@switchwheel/proxy-core';
import type { CallerRequest, SimulatedCallers } from '../processes/callers.js';
import { SimulatedProxy } from '../processes/proxy.js';
import { SimulatedRegistry } from '../processes/registry.js';
import { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import { cacheLifetimeOf } from '../world/configuration.js';
import type { World } from '../world/world.js';
import { Reachability } from './reachability.js';
import { ServiceObligations } from './service-obligations.js';

/** "About two seconds" leaves the simulated network a little. */
const propagationLimitMs = 2200;
/** After a full loss service is back within about fifteen seconds: then all that is in reach must serve. */
const recoveryLimitMs = 15_000;
const sampleIntervalMs = 25;
/** For how long an edge must have owed a result before a request, so that what is left of a fault is over. */
const minOwedMs = 3000;
/** The least a service takes as it is slowest: what has waited longer than its route allows is silent. */
const maxRequestMs = 6500;

/** Sliding counts: the most in any span. */
const maxCountWithin = (times: readonly number[], windowMs: number): number => {
  const sorted = [...times].sort((one, two) => one - two);
  let most = 0;
  let first = 0;
  for (const [at, time] of sorted.entries()) {
    while ((sorted[first] ?? 0) <= time - windowMs) first += 1;
    most = Math.max(most, at - first + 1);
  }
  return most;
};

/** Watches a simulated fleet for breaches of the rules: some after each step, some at every look, the others over the whole run. */
export class RuleChecker {
  readonly violations: string[] = [];
  readonly reachability: Reachability;
  readonly #obligations: ServiceObligations;
  readonly #world: World;
  readonly #callers: SimulatedCallers;
  readonly #highestGenerations = new Map<string, number>();
  readonly #leaseHolders = new Map<LeaseName, Set<SimulatedProcess>>();
  readonly #hashesByGeneration = new Map<number, string>();
  readonly #reportedOnce = new Set<string>();
  /** The highest generation that was accepted, by when. */
  readonly #accepted: { readonly at: number; readonly generation: number }[] = [];
  readonly #seenReplies = new Set<string>();
  readonly #vacantSince = new Map<string, number>();
  #dueGeneration = 0;

  constructor(world: World, callers: SimulatedCallers) {
    this.#world = world;
    this.#callers = callers;
    this.reachability = new Reachability(world);
    this.#obligations = new ServiceObligations(world, this.reachability);
    world.afterEvent = (actor) => this.checkProcess(actor);
    world.isUnreachable = (proxy) => this.reachability.unreachable.has(proxy);
    callers.onSent = (asked) => {
      asked.owedForMs = this.#obligations.owedForMs(asked.edge, toServiceName(asked.service));
    };
    callers.onReply = (asked) => this.#checkReply(asked);
    const look = (): void => {
      this.#sample();
      world.eventQueue.schedule(sampleIntervalMs, look);
    };
    look();
  }

  #addViolation(rule: string, text: string): void {
    if (this.violations.length < 20)
      this.violations.push(`${rule} at ${Math.round(this.#world.eventQueue.now)}: ${text}`);
  }

  #addViolationOnce(rule: string, key: string, text: string): void {
    if (this.#reportedOnce.has(`${rule} ${key}`)) return;
    this.#reportedOnce.add(`${rule} ${key}`);
    this.#addViolation(rule, text);
  }

  /** What a program found broken of the invariants that it checks on itself. */
  #checkInvariants(actor: SimulatedProcess): void {
    const found =
      actor instanceof SimulatedStore || actor instanceof SimulatedRegistry
        ? actor.state?.violations
        : actor instanceof SimulatedProxy
          ? actor.state?.nodeAgent.violations
          : undefined;
    for (const [invariant, count] of found ?? [])
      this.#addViolationOnce(
        'invariant',
        `${actor.node} ${invariant}`,
        `${invariant}, ${count} times`,
      );
  }

  /** Checked after each event of a machine. */
  checkProcess(actor: SimulatedProcess): void {
    this.#checkInvariants(actor);
    if (actor instanceof SimulatedProxy) {
      const generation = actor.state?.nodeAgent.compiledConfiguration?.generation ?? 0;
      const before = this.#highestGenerations.get(actor.node) ?? 0;
      if (generation !== 0 && generation < before)
        this.#addViolationOnce(
          'R5',
          actor.node,
          `${actor.node} went from ${before} to ${generation}`,
        );
      if (generation > before) this.#highestGenerations.set(actor.node, generation);
      for (const [service, candidate] of actor.state?.nodeAgent.candidates ?? [])
        this.#recordHolder(
          candidate.leaseName,
          actor,
          holdsLease(candidate, actor.clock) && actor.state?.activeLeaders.has(service) === true,
        );
    }
    if (actor instanceof SimulatedStore && actor.state !== undefined) {
      this.#recordHolder(
        actor.state.candidate.leaseName,
        actor,
        actor.state.isServing && holdsLease(actor.state.candidate, actor.clock),
      );
      const offer = actor.state.control.configuration?.offer;
      if (actor.state.isServing && offer !== undefined) {
        const known = this.#hashesByGeneration.get(offer.generation);
        if (known !== undefined && known !== offer.hash)
          this.#addViolation('generation', `generation ${offer.generation} is two descriptions`);
        this.#hashesByGeneration.set(offer.generation, offer.hash);
      }
    }
  }

  #recordHolder(duty: LeaseName, actor: SimulatedProcess, holding: boolean): void {
    const set = this.#leaseHolders.get(duty) ?? new Set<SimulatedProcess>();
    this.#leaseHolders.set(duty, set);
    if (!holding) {
      set.delete(actor);
      return;
    }
    set.add(actor);
    for (const other of [...set]) {
      if (other === actor) continue;
      if (this.#stillHolds(other, duty))
        this.#addViolationOnce(
          'one holder',
          duty,
          `${duty} is held by ${actor.node} and ${other.node}`,
        );
      else set.delete(other);
    }
  }

  #stillHolds(actor: SimulatedProcess, duty: LeaseName): boolean {
    if (!actor.isAlive) return false;
    if (actor instanceof SimulatedStore)
      return (
        actor.state !== undefined &&
        actor.state.isServing &&
        holdsLease(actor.state.candidate, actor.clock)
      );
    if (!(actor instanceof SimulatedProxy)) return false;
    return [...(actor.state?.nodeAgent.candidates.values() ?? [])].some(
      (one) => one.leaseName === duty && holdsLease(one, actor.clock),
    );
  }

  /** Checked again and again while time passes. */
  #sample(): void {
    const world = this.#world;
    this.reachability.sample();
    this.#obligations.sample();
    this.#checkConfigurationInForce();
    this.#checkRecovery();
    for (const proxy of world.shields) {
      for (const [service, name] of proxy.state?.activeLeaders ?? []) {
        const keeper = proxy.state?.leaders.get(name);
        if (keeper === undefined) continue;
        if (!hasExtraAttemptBudget(keeper, proxy.clock))
          world.coverage.record('R8: the budget of extra legs was used up');
        if (
          keeper.serviceConfiguration.perSecond !== undefined &&
          keeper.tokens < 1 &&
          keeper.queues.size > 0
        )
          world.coverage.record('R9: a ceiling held requests back');
        const slots = [...keeper.endpoints.values()].some((bay) => bay.activeAttempts > bay.slots);
        if (slots)
          this.#addViolationOnce(
            'slots',
            service,
            `${service}: a keeper has more legs at an origin than its slots`,
          );
      }
    }
  }

  /** R4, for every node that has been in reach for as long as it takes. */
  #checkConfigurationInForce(): void {
    const { now } = this.#world.eventQueue;
    for (const write of this.#world.writes) {
      if (write.kind !== 'apply' || write.reply?.status !== 200 || this.#seenReplies.has(write.id))
        continue;
      this.#seenReplies.add(write.id);
      this.#accepted.push({ at: write.reply.at, generation: write.reply.generation });
      if (this.reachability.unreachable.size > 0)
        this.#world.coverage.record('R4: accepted while a node was out of reach');
    }
    for (
      let first = this.#accepted[0];
      first !== undefined && first.at <= now - propagationLimitMs;
      first = this.#accepted[0]
    ) {
      this.#dueGeneration = Math.max(this.#dueGeneration, first.generation);
      this.#accepted.shift();
    }
    for (const proxy of this.#world.proxies) {
      if (this.reachability.reachableForMs(proxy) < propagationLimitMs) continue;
      const has =
        proxy.activations.at(-1)?.incarnationNumber === proxy.incarnationNumber
          ? (proxy.activations.at(-1)?.generation ?? 0)
          : 0;
      if (has < this.#dueGeneration)
        this.#addViolationOnce(
          'R4',
          `${proxy.node} ${this.#dueGeneration}`,
          `generation ${this.#dueGeneration} is not in force on ${proxy.node}, which runs ${has} and has been in reach for ${Math.round(this.reachability.reachableForMs(proxy))} ms`,
        );
    }
  }

  /** R12: what has been in reach for so long serves. */
  #checkRecovery(): void {
    const world = this.#world;
    for (const edge of world.edges) {
      const idle = Math.min(
        this.reachability.reachableForMs(edge),
        this.#vacantForMs(edge.node, edge.isReady || edge.isStopping),
      );
      if (idle > recoveryLimitMs)
        this.#addViolationOnce(
          'R12',
          edge.node,
          `${edge.node} has been in reach and not ready for ${Math.round(idle)} ms`,
        );
    }
    const core = this.reachability.coreAvailableForMs();
    if (
      Math.min(core, this.#vacantForMs('primary', world.primary() !== undefined)) > recoveryLimitMs
    )
      this.#addViolationOnce('R12', 'primary', 'no primary for fifteen seconds');
    const shield = Math.max(
      0,
      ...world.shields.map((one) => this.reachability.reachableForMs(one)),
    );
    for (const { name } of world.layout.services) {
      if (
        Math.min(core, shield, this.#vacantForMs(name, world.serviceLeaderOf(name) !== undefined)) >
        recoveryLimitMs
      )
        this.#addViolationOnce('R12', name, `${name} has had no keeper for fifteen seconds`);
    }
  }

  /** For how long nobody has held a duty, as far as was looked. */
  #vacantForMs(name: string, held: boolean): number {
    const { now } = this.#world.eventQueue;
    const since = held ? now : (this.#vacantSince.get(name) ?? now);
    this.#vacantSince.set(name, since);
    return now - since;
  }

  /** What is judged at the moment a caller is told. */
  #checkReply(asked: CallerRequest): void {
    const { result } = asked;
    const world = this.#world;
    if (
      result === undefined ||
      asked.hasLeft ||
      result.kind === 'result' ||
      asked.owedForMs < minOwedMs ||
      asked.isFlood
    )
      return;
    // What failed in this very moment, between two looks, counts.
    this.reachability.sample();
    this.#obligations.sample();
    if (
      this.#obligations.owedForMs(asked.edge, toServiceName(asked.service)) >=
      asked.owedForMs + world.eventQueue.now - asked.sentAt - 1
    ) {
      this.#addViolation(
        'owed',
        `${asked.id} ${asked.path} at ${asked.edge.node} was told ${result.kind} (${result.text}) after ${Math.round(world.eventQueue.now - asked.sentAt)} ms with nothing amiss on its way`,
      );
    }
  }

  /** Checked over the whole run. */
  finish(): readonly string[] {
    this.#sample();
    for (const text of this.#world.selfReportedViolations.slice(0, 5))
      this.#addViolation('fence', text);
    this.#checkExecutions();
    this.#checkResults();
    this.#checkUnanswered();
    this.#checkWrites();
    this.#checkOrigins();
    return this.violations;
  }

  #checkExecutions(): void {
    const runs = new Map<string, number>();
    const { coverage } = this.#world;
    for (const origin of this.#world.origins)
      for (const run of origin.executions) increment(runs, run.requestId);
    for (const asked of this.#callers.requests) {
      const many = runs.get(asked.id) ?? 0;
      if (asked.isUnsafe && many > 1)
        this.#addViolation('R1', `${asked.id} ${asked.path} ran ${many} times`);
      if (many > 1) coverage.record('R3: two legs ran for one request');
      const kind = asked.result?.kind;
      if (kind === 'rejected' || kind === 'unready')
        coverage.record('R2: a request was told as refused');
      if (kind === 'unknown' || kind === 'lost' || kind === 'slow')
        coverage.record('R2: a request was told as unknown');
      if ((kind === 'rejected' || kind === 'unready') && many > 0)
        this.#addViolation(
          'R2',
          `${asked.id} ${asked.path} was told ${kind} (${asked.result?.text ?? ''}) and ran ${many} times`,
        );
      if (asked.isUnsafe && kind === 'result' && asked.result?.status === 200 && many === 0)
        this.#addViolation('R3', `${asked.id} was told done and never ran`);
    }
  }

  #checkResults(): void {
    const { coverage } = this.#world;
    const purges = this.#world.writes.filter(
      (one) => one.kind === 'purge' && one.reply?.status === 200,
    );
    for (const asked of this.#callers.requests) {
      const { result, answeredAt } = asked;
      if (asked.hasSecondReply) this.#addViolation('R3', `${asked.id} was told two results`);
      if (result?.kind !== 'result' || answeredAt === undefined || result.status !== 200) continue;
      if (result.object !== asked.path)
        this.#addViolation(
          'R3',
          `${asked.id} asked for ${asked.path} and got ${result.object === '' ? 'bytes of nothing' : result.object} from ${result.source}`,
        );
      // What can't be shared answers this very request.
      if (!asked.path.includes('/read/') && result.request !== asked.id)
        this.#addViolation('R3', `${asked.id} got the result of ${result.request}`);
      if (!asked.path.includes('/read/')) continue;
      if (result.source === 'edge' || result.source === 'shield')
        coverage.record('R7: a kept result was told');
      if (asked.wasEdgeUnreachable)
        coverage.record('R7: an edge out of reach was asked for what it may have kept');
      const lifetime = cacheLifetimeOf(asked.service);
      if (answeredAt - result.createdAt > lifetime + propagationLimitMs)
        this.#addViolation(
          'R7',
          `${asked.id} from ${result.source} at ${asked.edge.node} got ${asked.path} ${Math.round(answeredAt - result.createdAt)} ms after its origin made it`,
        );
      if (answeredAt - result.createdAt > lifetime * 0.9)
        coverage.record('R7: a kept result came to its end');
      for (const purge of purges) {
        const at = purge.reply?.at ?? 0;
        const least = purge.revisions.get(asked.path);
        if (
          least !== undefined &&
          result.revision < least &&
          answeredAt > at + propagationLimitMs
        ) {
          this.#addViolation(
            'R7',
            `${asked.id} from ${result.source} at ${asked.edge.node}, asked at ${Math.round(asked.sentAt)}, got revision ${result.revision} of ${asked.path}, ${Math.round(answeredAt - at)} ms after its purge`,
          );
        }
      }
    }
  }

  /** R11: nobody waits for ever, but for those whose edge was killed or frozen. */
  #checkUnanswered(): void {
    const { now } = this.#world.eventQueue;
    for (const asked of this.#callers.requests) {
      if (asked.result !== undefined || asked.hasLeft || now - asked.sentAt < maxRequestMs)
        continue;
      const ended = asked.edge.endOf(asked.edgeIncarnation);
      if (ended === 'planned')
        this.#addViolation(
          'R11',
          `${asked.id} ${asked.path} at ${asked.edge.node} was dropped silently by a planned stop`,
        );
      else if (ended === 'alive' && !asked.edge.isFrozen)
        this.#addViolation(
          'R11',
          `${asked.id} ${asked.path} at ${asked.edge.node} was never told anything`,
        );
    }
  }

  #checkWrites(): void {
    let top = 0;
    const given = new Map<number, string>();
    for (const write of this.#world.writes) {
      const { reply } = write;
      if (write.kind !== 'apply' || reply?.status !== 200) continue;
      if (write.isInvalid) this.#addViolation('whole', `${write.id} is invalid and was accepted`);
      const other = given.get(reply.generation);
      if (other !== undefined)
        this.#addViolation(
          'generation',
          `${other} and ${write.id} were both told generation ${reply.generation}`,
        );
      given.set(reply.generation, write.id);
      top = Math.max(top, reply.generation);
    }
    const primary = this.#world.primary();
    const now = primary?.state?.control.configuration?.offer.generation ?? 0;
    if (primary !== undefined && now < top)
      this.#addViolation('lost write', `generation ${top} was accepted, the store has ${now}`);
    const calls = primary?.state?.control.commandOutcomes;
    for (const write of this.#world.writes) {
      const status = write.reply?.status;
      const kept = calls?.has(write.id) === true;
      if (primary !== undefined && status === 200 && !kept)
        this.#addViolation(
          'lost write',
          `${write.kind} ${write.id} was accepted and is not in the store`,
        );
      if ((status === 409 || status === 422 || status === 503) && kept)
        this.#addViolation('R2', `${write.kind} ${write.id} was told ${status} and took effect`);
    }
  }

  #checkOrigins(): void {
    for (const origin of this.#world.origins) {
      const known = origin.departureKnownAt;
      if (known === undefined) continue;
      const late = origin.arrivals.filter((at) => at > known + propagationLimitMs);
      if (late.length > 0)
        this.#addViolation(
          'R6',
          `${origin.instance} got ${late.length} requests up to ${Math.round((late.at(-1) ?? 0) - known)} ms after it was known to leave`,
        );
    }
    for (const service of this.#world.layout.services) {
      const mine = this.#world.origins.filter((one) => one.service === service.name);
      if (service.perSecond !== undefined) {
        const most = maxCountWithin(
          mine.flatMap((one) => one.contactTimes),
          5000,
        );
        if (most > service.perSecond * 5.5)
          this.#addViolation(
            'R9',
            `${service.name} was sent ${most} in 5 s, its ceiling is ${service.perSecond} a second`,
          );
      }
      this.#checkExtraAttempts(
        service.name,
        mine.flatMap((one) => one.attempts),
      );
    }
    this.#checkReleases();
  }

  /** In any ten seconds, tries beyond the first are at most a fifth of the traffic and sixty. */
  #checkExtraAttempts(
    service: string,
    takes: readonly { readonly request: string; readonly at: number }[],
  ): void {
    const sorted = [...takes].sort((one, two) => one.at - two.at);
    const seen = new Set<string>();
    const rows = sorted.map((one) => {
      const extra = seen.has(one.request);
      seen.add(one.request);
      return { at: one.at, extra };
    });
    let first = 0;
    let extra = 0;
    let traffic = 0;
    for (const row of rows) {
      if (row.extra) extra += 1;
      else traffic += 1;
      for (
        let old = rows[first];
        old !== undefined && old.at <= row.at - 10_000;
        old = rows[first]
      ) {
        if (old.extra) extra -= 1;
        else traffic -= 1;
        first += 1;
      }
      if (extra > traffic / 5 + 60) {
        this.#addViolation(
          'R8',
          `${service}: ${extra} extra tries beside ${traffic} in ten seconds, up to ${Math.round(row.at)}`,
        );
        return;
      }
    }
  }

  /** Bad releases, as the run named them. */
  readonly badReleases = new Set<string>();

  #checkReleases(): void {
    for (const release of this.badReleases) {
      const mine = this.#world.origins.filter((one) => one.release === release);
      const service = mine[0]?.service;
      const first = Math.min(...mine.flatMap((one) => one.arrivals));
      const all = this.#world.origins
        .filter((one) => one.service === service)
        .flatMap((one) => one.arrivals)
        .filter((at) => at >= first).length;
      const got = mine.reduce((sum, one) => sum + one.arrivals.length, 0);
      if (got > all / 10 + 55)
        this.#addViolation('R10', `the bad release ${release} got ${got} of ${all} requests`);
      const bad = mine.flatMap((one) => one.failureTimes).sort((one, two) => one - two)[49];
      if (bad !== undefined && mine.some((one) => one.arrivals.some((at) => at > bad + 5000)))
        this.#addViolation(
          'R10',
          `${release} got requests more than 5 s after its fiftieth bad answer`,
        );
    }
  }
}
