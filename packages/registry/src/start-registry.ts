/**
 * The composition root of a registry: it wires the state machine to the channels of other processes,
 * the clock and an HTTP listener, and stops them. It decides nothing.
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
/** How long a stop waits for requests that have no answer yet. */
const drainTimeoutMs = 4000;
const drainPollMs = 20;

/** Where a registry runs and whom it knows at its start. */
export interface RegistrySettings {
  readonly node: NodeId;
  readonly area: ZoneName;
  /** Where other processes of the fleet reach it. */
  readonly listen: Address;
  /** Other registries that it tries first. */
  readonly seeds: readonly Address[];
  /** Where operators and origins reach it over HTTP. */
  readonly door: Address;
}

/** What a registry may be started with besides. */
export interface RegistryOptions {
  /** The cluster to propose while there is none. */
  readonly proposal?: ClusterProposal | undefined;
  /** Whether nodes that run nothing may start on what disks are proven to hold; false by default. */
  readonly offersDiskHints?: boolean;
  readonly tickIntervalMs?: number;
}

/** A registry that runs in this process. */
export interface RunningRegistry extends RunningProgram {
  /** Announces to the primary that this registry's vote ends; all else goes on until the stop. */
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

/** Starts the event loop; answers to requests settle `pending`. */
const startLoop = (
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

/** Starts a registry; `createApp` makes its HTTP interface. Rejects if an address can't be bound. */
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
  const loop = startLoop(member, channels, pending, log, settings.seeds, options);
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
