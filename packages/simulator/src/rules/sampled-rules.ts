/**
 * Rules that are checked on samples of the fleet's state: active configurations (R4), recovery
 * (R12) and slots of origins; and availability: requests must not fail while nothing on their path
 * has a fault.
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

/** Time within which all reachable nodes must serve again after a full loss. */
const recoveryLimitMs = 15_000;
/** Time for which a service must have been available before a request, so that earlier faults have no effect. */
const minAvailableMs = 3000;

type ServiceLeaderState = NonNullable<
  ReturnType<NonNullable<SimulatedProxy['state']>['leaders']['get']>
>;

/** Checks a fleet on samples of its state. */
export class SampledRules {
  readonly reachability: Reachability;
  readonly #world: World;
  readonly #violations: ViolationLog;
  readonly #serviceAvailability: ServiceAvailability;
  /** Accepted generations that need not be active yet, in the order of their acceptance. */
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

  /** Takes a sample and checks it. */
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
      this.#world.coverage.record('R8: the budget of extra attempts was exhausted');
    if (
      leader.serviceConfiguration.perSecond !== undefined &&
      leader.tokens < 1 &&
      leader.queues.size > 0
    )
      this.#world.coverage.record('R9: a rate limit delayed requests');
    const exceedsSlots = [...leader.endpoints.values()].some(
      (endpoint) => endpoint.activeAttempts > endpoint.slots,
    );
    if (exceedsSlots)
      this.#violations.addOnce(
        'slots',
        service,
        `${service}: the leader has more attempts at an origin than it has slots`,
      );
  }

  /** Time for which the service has been available at the edge of a request, in milliseconds. */
  serviceAvailableForMs(request: CallerRequest): number {
    return this.#serviceAvailability.availableForMs(request.edge, toServiceName(request.service));
  }

  /** Collects accepted configurations and the newest generation that must be active by now. */
  #updateDueGeneration(): void {
    const { now } = this.#world.eventQueue;
    for (const write of this.#world.writes) {
      if (write.kind !== 'apply' || write.reply?.status !== 200 || this.#seenReplies.has(write.id))
        continue;
      this.#seenReplies.add(write.id);
      this.#pendingGenerations.push({ at: write.reply.at, generation: write.reply.generation });
      if (this.reachability.unreachable.size > 0)
        this.#world.coverage.record(
          'R4: a configuration was accepted while a node was disconnected',
        );
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

  /** R4: every node that has been reachable for the propagation limit runs the due generation. */
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
          `generation ${this.#dueGeneration} is not active on ${proxy.node}, which runs ${activeGeneration} and has been reachable for ${Math.round(this.reachability.reachableForMs(proxy))} ms`,
        );
    }
  }

  /** R12: nodes that have been reachable for the recovery limit serve. */
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
          `${edge.node} has been reachable and not ready for ${Math.round(unreadyForMs)} ms`,
        );
    }
    const coreAvailableForMs = this.reachability.coreAvailableForMs();
    if (
      Math.min(coreAvailableForMs, this.#vacantForMs('primary', world.primary() !== undefined)) >
      recoveryLimitMs
    )
      this.#violations.addOnce('R12', 'primary', 'no primary for 15 s');
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
        this.#violations.addOnce('R12', name, `${name} has had no leader for 15 s`);
    }
  }

  /** Time for which a role has been vacant by the samples, in milliseconds. */
  #vacantForMs(role: string, isFilled: boolean): number {
    const { now } = this.#world.eventQueue;
    const since = isFilled ? now : (this.#vacantSince.get(role) ?? now);
    this.#vacantSince.set(role, since);
    return now - since;
  }

  /** Checks a request when its caller gets a reply. */
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
    // Samples again, since a fault may have started after the last sample.
    this.reachability.sample();
    this.#serviceAvailability.sample();
    if (
      this.serviceAvailableForMs(request) >=
      request.serviceAvailableForMs + world.eventQueue.now - request.sentAt - 1
    ) {
      this.#violations.add(
        'availability',
        `${request.id} ${request.path} at ${request.edge.node} failed as ${result.kind} (${result.text}) after ${Math.round(world.eventQueue.now - request.sentAt)} ms without a fault on its path`,
      );
    }
  }
}
