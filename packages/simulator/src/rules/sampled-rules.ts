/**
 * What is judged again and again while time passes: configurations in force (R4), recovery (R12),
 * slots of origins; and the obligation to answer requests that nothing stands in the way of.
 */

import { hasExtraAttemptBudget } from '@switchwheel/proxy-core';
import { toServiceName, type ServiceName } from '@switchwheel/types';
import type { CallerRequest } from '../processes/callers.js';
import type { SimulatedProxy } from '../processes/proxy.js';
import type { World } from '../world/world.js';
import { propagationLimitMs } from './limits.js';
import { Reachability } from './reachability.js';
import { ServiceObligations } from './service-obligations.js';
import type { ViolationLog } from './violation-log.js';

/** After a full loss service is back within about fifteen seconds: then all that is in reach must serve. */
const recoveryLimitMs = 15_000;
/** For how long an edge must have owed a result before a request, so that what is left of a fault is over. */
const minOwedMs = 3000;

type Leader = NonNullable<ReturnType<NonNullable<SimulatedProxy['state']>['leaders']['get']>>;

/** Judges a fleet by samples of its state. */
export class SampledRules {
  readonly reachability: Reachability;
  readonly #world: World;
  readonly #violations: ViolationLog;
  readonly #obligations: ServiceObligations;
  /** Accepted generations that need not be in force yet, by when they were accepted. */
  readonly #accepted: { readonly at: number; readonly generation: number }[] = [];
  readonly #seenReplies = new Set<string>();
  readonly #vacantSince = new Map<string, number>();
  #dueGeneration = 0;

  constructor(world: World, violations: ViolationLog) {
    this.#world = world;
    this.#violations = violations;
    this.reachability = new Reachability(world);
    this.#obligations = new ServiceObligations(world, this.reachability);
  }

  /** Takes a sample and judges it. */
  sample(): void {
    this.reachability.sample();
    this.#obligations.sample();
    this.#updateDueGeneration();
    this.#checkConfigurationInForce();
    this.#checkRecovery();
    for (const shield of this.#world.shields) {
      for (const [service, name] of shield.state?.activeLeaders ?? []) {
        const leader = shield.state?.leaders.get(name);
        if (leader !== undefined) this.#checkLeader(shield, service, leader);
      }
    }
  }

  #checkLeader(shield: SimulatedProxy, service: ServiceName, leader: Leader): void {
    if (!hasExtraAttemptBudget(leader, shield.clock))
      this.#world.coverage.record('R8: the budget of extra legs was used up');
    if (
      leader.serviceConfiguration.perSecond !== undefined &&
      leader.tokens < 1 &&
      leader.queues.size > 0
    )
      this.#world.coverage.record('R9: a ceiling held requests back');
    const isOverfull = [...leader.endpoints.values()].some(
      (endpoint) => endpoint.activeAttempts > endpoint.slots,
    );
    if (isOverfull)
      this.#violations.addOnce(
        'slots',
        service,
        `${service}: a leader has more legs at an origin than its slots`,
      );
  }

  /** For how long the edge of a request has owed its service's results, before the request. */
  owedForMs(request: CallerRequest): number {
    return this.#obligations.owedForMs(request.edge, toServiceName(request.service));
  }

  /** Takes note of accepted configurations, and of the newest that must be in force by now. */
  #updateDueGeneration(): void {
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
  }

  /** R4, for every node that has been in reach for as long as it takes. */
  #checkConfigurationInForce(): void {
    for (const proxy of this.#world.proxies) {
      if (this.reachability.reachableForMs(proxy) < propagationLimitMs) continue;
      const activation = proxy.activations.at(-1);
      const running =
        activation?.incarnationNumber === proxy.incarnationNumber ? activation.generation : 0;
      if (running < this.#dueGeneration)
        this.#violations.addOnce(
          'R4',
          `${proxy.node} ${this.#dueGeneration}`,
          `generation ${this.#dueGeneration} is not in force on ${proxy.node}, which runs ${running} and has been in reach for ${Math.round(this.reachability.reachableForMs(proxy))} ms`,
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
        this.#violations.addOnce(
          'R12',
          edge.node,
          `${edge.node} has been in reach and not ready for ${Math.round(idle)} ms`,
        );
    }
    const core = this.reachability.coreAvailableForMs();
    if (
      Math.min(core, this.#vacantForMs('primary', world.primary() !== undefined)) > recoveryLimitMs
    )
      this.#violations.addOnce('R12', 'primary', 'no primary for fifteen seconds');
    const shield = Math.max(
      0,
      ...world.shields.map((one) => this.reachability.reachableForMs(one)),
    );
    for (const { name } of world.layout.services) {
      if (
        Math.min(core, shield, this.#vacantForMs(name, world.serviceLeaderOf(name) !== undefined)) >
        recoveryLimitMs
      )
        this.#violations.addOnce('R12', name, `${name} has had no leader for fifteen seconds`);
    }
  }

  /** For how long a role has been vacant, as far as samples show. */
  #vacantForMs(name: string, held: boolean): number {
    const { now } = this.#world.eventQueue;
    const since = held ? now : (this.#vacantSince.get(name) ?? now);
    this.#vacantSince.set(name, since);
    return now - since;
  }

  /** Judges a request at the moment its caller gets a reply. */
  checkReply(request: CallerRequest): void {
    const { result } = request;
    const world = this.#world;
    if (
      result === undefined ||
      request.hasDisconnected ||
      result.kind === 'result' ||
      request.serviceAvailableForMs < minOwedMs ||
      request.isFlood
    )
      return;
    // What failed in this very moment, between two samples, counts.
    this.reachability.sample();
    this.#obligations.sample();
    if (
      this.owedForMs(request) >=
      request.serviceAvailableForMs + world.eventQueue.now - request.sentAt - 1
    ) {
      this.#violations.add(
        'owed',
        `${request.id} ${request.path} at ${request.edge.node} was told ${result.kind} (${result.text}) after ${Math.round(world.eventQueue.now - request.sentAt)} ms with nothing amiss on its way`,
      );
    }
  }
}
