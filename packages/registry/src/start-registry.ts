/**
 * Composition root of a registry: wires the state machine of the membership package to channels, the
 * clock and an HTTP listener, and stops them in order.
 */

import type Koa from 'koa';
import type { Address, NodeId, Timestamp, ZoneName } from '@switchwheel/types';
import { ChannelPool, type Member, type ProcessEffect } from '@switchwheel/transport';
import {
  type ClusterProposal,
  type RegistryEffect,
  type RegistryEvent,
  type RegistryState,
  hasMajorityContact,
  newRegistryState,
  registryTransition,
} from '@switchwheel/membership';
import {
  type Logger,
  type RunningProgram,
  delay,
  isProcessEffect,
  newIncarnation,
  newRandomState,
  now,
  startEventLoop,
  startHttpServer,
} from '@switchwheel/runtime';
import { PendingRequests } from './pending-requests.js';
import { renderRegistryMetrics } from './registry-metrics.js';
import type { RegistryPort } from './registry-port.js';

const httpLimits = { headersTimeoutMs: 5000, requestTimeoutMs: 30_000, maxHeaderBytes: 16 * 1024 };
/** Maximum time that a stop waits for pending requests. */
const drainTimeoutMs = 4000;
const drainPollMs = 20;

/** Identity and addresses of a registry. */
export interface RegistrySettings {
  readonly node: NodeId;
  readonly area: ZoneName;
  /** Address at which other processes of the cluster connect. */
  readonly listen: Address;
  /** Registries to contact first. */
  readonly seeds: readonly Address[];
  /** Address of the HTTP listener for operators and origins. */
  readonly door: Address;
}

/** Optional behaviour of a registry. */
export interface RegistryOptions {
  /** Cluster to propose for the bootstrap while there is none. */
  readonly proposal?: ClusterProposal | undefined;
  /** Whether nodes without a configuration may start with one from disk hints, if proven current; false by default. */
  readonly offersDiskHints?: boolean;
  /** Interval between ticks of the state machine; the event loop's default if undefined. */
  readonly tickIntervalMs?: number;
}

/** A registry running in this process. */
export interface RunningRegistry extends RunningProgram {
  /** Announces the stop, so that another voter replaces it; from then on the registry is not ready and rejects commands. */
  readonly leave: () => void;
}

type ReplyEffect = Exclude<RegistryEffect, ProcessEffect>;

const memberOf = (settings: RegistrySettings): Member => ({
  node: settings.node,
  role: 'registry',
  area: settings.area,
  address: settings.listen,
  door: settings.door,
  admin: settings.door,
  incarnation: newIncarnation(),
});

/** Starts the event loop, which resolves `pending` requests with the responses of the state machine. */
const startRegistryLoop = (
  member: Member,
  channels: ChannelPool,
  pending: PendingRequests,
  log: Logger,
  seeds: readonly Address[],
  { proposal, offersDiskHints, tickIntervalMs }: RegistryOptions,
): ReturnType<typeof startEventLoop<RegistryState, RegistryEvent, ReplyEffect>> =>
  startEventLoop<RegistryState, RegistryEvent, ReplyEffect>(
    registryTransition,
    newRegistryState(member, seeds, now(), newRandomState(), proposal, offersDiskHints ?? false),
    channels,
    log,
    ({ correlationId, status, body }) => pending.resolve(correlationId, { status, body }),
    (effect: RegistryEffect): effect is ProcessEffect => isProcessEffect(effect),
    tickIntervalMs,
  );

/** Starts a registry with the HTTP interface made by `createApp`. Rejects if an address can't be bound. */
export const startRegistry = async (
  settings: RegistrySettings,
  log: Logger,
  createApp: (registry: RegistryPort) => Koa,
  options: RegistryOptions = {},
): Promise<RunningRegistry> => {
  const member = memberOf(settings);
  const { node, address, incarnation } = member;
  const channels = new ChannelPool({ node, address, incarnation });
  const pending = new PendingRequests();
  const loop = startRegistryLoop(member, channels, pending, log, settings.seeds, options);
  const { state } = loop.stateMachine;

  let maxLoopLagMs = 0;
  const listener = await startHttpServer(
    createApp({
      submit: (request) =>
        pending.send((correlationId) =>
          loop.dispatch((at) => ({ kind: 'requestReceived', now: at, correlationId, request })),
        ),
      isReady: () => !state().isStopping && hasMajorityContact(state(), now()),
      renderMetrics: () => {
        maxLoopLagMs = Math.max(maxLoopLagMs, loop.takeMaxLagMs());
        const { protocolErrorCount } = channels;
        return renderRegistryMetrics(state(), { maxLoopLagMs, protocolErrorCount });
      },
      state,
    }),
    settings.door,
    httpLimits,
  );
  await channels.listen();
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', settings.listen],
      ['door', settings.door],
    ]),
  );

  const leave = (): void => loop.dispatch((at: Timestamp) => ({ kind: 'stopRequested', now: at }));
  return {
    leave,
    stop: async () => {
      leave();
      listener.stopAccepting();
      const deadline = now() + drainTimeoutMs;
      while (pending.size > 0 && now() < deadline) await delay(drainPollMs);
      loop.stop();
      channels.close();
    },
  };
};
