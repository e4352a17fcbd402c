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
import { ServiceAvailability } from './service-availability.js';
import type { ViolationLog } from './violation-log.js';

/** After a full loss service is back within about fifteen seconds: then all that is in reach must serve. */
const recoveryLimitMs = 15_000;
/** For how long an edge must have owed a result before a request, so that what is left of a fault is over. */
const minAvailableMs = 3000;

type ServiceLeaderState = NonNullable<
  ReturnType<NonNullable<SimulatedProxy['state']>['leaders']['get']>
>;

/** Judges a fleet by samples of its state. */
export class SampledRules {
  readonly reachability: Reachability;
  readonly #world: World;
  readonly #violations: ViolationLog;
  readonly #serviceAvailability: ServiceAvailability;
  /** Accepted generations that need not be in force yet, by when they were accepted. */
  readonly #pendingGenerations: { readonly at: number; readonly generation: number }[] = [];
  readonly #seenReplies = new Set<string>();
  readonly #vacantSince = new Map<string, number>();
  #dueGeneration = 0;

  constructor(world: World, violations: ViolationLog) {
    this.#world = world;
    this.#violations = violations;
    this.reachability = new Reachability(world);
    this.#serviceAvailability = new ServiceAvailability(world, this.reachability);
  }

  /** Takes a sample and judges it. */
  sample(): void {
    this.reachability.sample();
    this.#serviceAvailability.sample();
    this.#updateDueGeneration();
    this.#checkActiveGenerations();
    this.#checkRecovery();
    for (const shield of this.#world.shields) {
      for (const [service, name] of shield.state?.activeLeaders ?? []) {
        const leader = shield.state?.leaders.get(name);
        if (leader !== undefined) this.#checkLeader(shield, service, leader);
      }
    }
  }

  #checkLeader(shield: SimulatedProxy, service: ServiceName, leader: ServiceLeaderState): void {
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
  serviceAvailableForMs(request: CallerRequest): number {
    return this.#serviceAvailability.availableForMs(request.edge, toServiceName(request.service));
  }

  /** Takes note of accepted configurations, and of the newest that must be in force by now. */
  #updateDueGeneration(): void {
    const { now } = this.#world.eventQueue;
    for (const write of this.#world.writes) {
      if (write.kind !== 'apply' || write.reply?.status !== 200 || this.#seenReplies.has(write.id))
        continue;
      this.#seenReplies.add(write.id);
      this.#pendingGenerations.push({ at: write.reply.at, generation: write.reply.generation });
      if (this.reachability.unreachable.size > 0)
        this.#world.coverage.record('R4: accepted while a node was out of reach');
    }
    for (
      let first = this.#pendingGenerations[0];
      first !== undefined && first.at <= now - propagationLimitMs;
      first = this.#pendingGenerations[0]
    ) {
      this.#dueGeneration = Math.max(this.#dueGeneration, first.generation);
      this.#pendingGenerations.shift();
    }
  }

  /** R4, for every node that has been in reach for as long as it takes. */
  #checkActiveGenerations(): void {
    for (const proxy of this.#world.proxies) {
      if (this.reachability.reachableForMs(proxy) < propagationLimitMs) continue;
      const activation = proxy.activations.at(-1);
      const activeGeneration =
        activation?.incarnationNumber === proxy.incarnationNumber ? activation.generation : 0;
      if (activeGeneration < this.#dueGeneration)
        this.#violations.addOnce(
          'R4',
          `${proxy.node} ${this.#dueGeneration}`,
          `generation ${this.#dueGeneration} is not in force on ${proxy.node}, which runs ${activeGeneration} and has been in reach for ${Math.round(this.reachability.reachableForMs(proxy))} ms`,
        );
    }
  }

  /** R12: what has been in reach for so long serves. */
  #checkRecovery(): void {
    const world = this.#world;
    for (const edge of world.edges) {
      const unreadyForMs = Math.min(
        this.reachability.reachableForMs(edge),
        this.#vacantForMs(edge.node, edge.isReady || edge.isStopping),
      );
      if (unreadyForMs > recoveryLimitMs)
        this.#violations.addOnce(
          'R12',
          edge.node,
          `${edge.node} has been in reach and not ready for ${Math.round(unreadyForMs)} ms`,
        );
    }
    const coreAvailableForMs = this.reachability.coreAvailableForMs();
    if (
      Math.min(coreAvailableForMs, this.#vacantForMs('primary', world.primary() !== undefined)) >
      recoveryLimitMs
    )
      this.#violations.addOnce('R12', 'primary', 'no primary for fifteen seconds');
    const shieldReachableForMs = Math.max(
      0,
      ...world.shields.map((candidate) => this.reachability.reachableForMs(candidate)),
    );
    for (const { name } of world.layout.services) {
      if (
        Math.min(
          coreAvailableForMs,
          shieldReachableForMs,
          this.#vacantForMs(name, world.serviceLeaderOf(name) !== undefined),
        ) > recoveryLimitMs
      )
        this.#violations.addOnce('R12', name, `${name} has had no leader for fifteen seconds`);
    }
  }

  /** For how long a role has been vacant, as far as samples show. */
  #vacantForMs(role: string, isFilled: boolean): number {
    const { now } = this.#world.eventQueue;
    const since = isFilled ? now : (this.#vacantSince.get(role) ?? now);
    this.#vacantSince.set(role, since);
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
      request.serviceAvailableForMs < minAvailableMs ||
      request.isFlood
    )
      return;
    // What failed in this very moment, between two samples, counts.
    this.reachability.sample();
    this.#serviceAvailability.sample();
    if (
      this.serviceAvailableForMs(request) >=
      request.serviceAvailableForMs + world.eventQueue.now - request.sentAt - 1
    ) {
      this.#violations.add(
        'owed',
        `${request.id} ${request.path} at ${request.edge.node} was told ${result.kind} (${result.text}) after ${Math.round(world.eventQueue.now - request.sentAt)} ms with nothing amiss on its way`,
      );
    }
  }
}
