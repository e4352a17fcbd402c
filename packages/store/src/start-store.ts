/**
 * Composition root of a store: wires the state machine of the replicated-store package to channels, the disk and the
 * admin HTTP server, and stops them in order.
 */

import type { Address, NodeId, ZoneName } from '@switchwheel/types';
import { type Member, type ProcessEffect, ChannelPool } from '@switchwheel/transport';
import {
  type Disk,
  type EventLoop,
  type Logger,
  type MetricSample,
  type RunningProgram,
  createAdminApp,
  delay,
  formatMetrics,
  isProcessEffect,
  newIncarnation,
  newRandomState,
  now,
  startEventLoop,
  startHttpServer,
  withLabel,
} from '@switchwheel/runtime';
import {
  type ReplicationSettings,
  type StoreEffect,
  type StoreEvent,
  type StoreState,
  defaultReplicationSettings,
  newStoreState,
  storeTransition,
} from '@switchwheel/replicated-store';
import { readDiskContents } from './disk-rows.js';
import { type StoreOnlyEffect, runStoreEffect } from './store-effects.js';
import { isStoreReady, storeMetrics } from './store-metrics.js';

/** Identity, addresses and limits of a store. */
export interface StoreSettings {
  readonly node: NodeId;
  readonly zone: ZoneName;
  /** Address at which other processes of the cluster connect. */
  readonly listen: Address;
  /** Registries to contact first. */
  readonly seeds: readonly Address[];
  /** Path of the data folder, for the log. */
  readonly data: string;
  /** Address of the admin HTTP server; none is started if undefined. */
  readonly admin?: Address;
  /** Number of replicas, and number of them that may be lost at once. */
  readonly replication?: ReplicationSettings;
  /** Interval between ticks of the state machine; the event loop's default if undefined. */
  readonly tickIntervalMs?: number;
  /** Maximum time that a stop waits for the handover of the lease and of the replica to other stores. */
  readonly graceMs?: number;
  /** Whether a cluster may be bootstrapped on this store; true by default. */
  readonly mayBootstrap?: boolean;
}

/** A store running in this process. */
export interface RunningStore extends RunningProgram {
  /** Renders the store's metrics in Prometheus' text format, labelled `program="store"`, for an embedding program. */
  readonly metrics: () => string;
}

/** Time for the last frames to be sent before the channels close. */
const flushDelayMs = 100;
const diskCloseTimeoutMs = 1000;

const memberOf = (settings: StoreSettings): Member => ({
  node: settings.node,
  role: 'store',
  area: settings.zone,
  address: settings.listen,
  ...(settings.admin === undefined ? {} : { admin: settings.admin }),
  incarnation: newIncarnation(),
});

const isEventLoopEffect = (effect: StoreEffect): effect is ProcessEffect => isProcessEffect(effect);

interface RunningStateMachine {
  readonly loop: EventLoop<StoreState, StoreEvent>;
  /** Resolves once the state machine has finished its stop. */
  readonly stopCompleted: Promise<void>;
}

const startStateMachine = (
  settings: StoreSettings,
  member: Member,
  channels: ChannelPool,
  log: Logger,
  disk: Disk,
): RunningStateMachine => {
  let onStopCompleted: () => void = () => undefined;
  const stopCompleted = new Promise<void>((resolve) => {
    onStopCompleted = resolve;
  });
  const loop = startEventLoop<StoreState, StoreEvent, StoreOnlyEffect>(
    storeTransition,
    newStoreState(
      member,
      settings.seeds,
      newRandomState(),
      settings.replication ?? defaultReplicationSettings,
      settings.mayBootstrap ?? true,
    ),
    channels,
    log,
    (effect) => {
      runStoreEffect({ disk, dispatch: loop.dispatch, onStopCompleted }, effect);
    },
    isEventLoopEffect,
    settings.tickIntervalMs,
  );
  return { loop, stopCompleted };
};

/** Starts a store on an open data folder; resolves once it listens and has read the folder. */
export const startStore = async (
  settings: StoreSettings,
  log: Logger,
  disk: Disk,
): Promise<RunningStore> => {
  const member = memberOf(settings);
  const { node, address, incarnation } = member;
  const channels = new ChannelPool({ node, address, incarnation });
  const { loop, stopCompleted } = startStateMachine(settings, member, channels, log, disk);

  let maxLoopLagMs = 0;
  const metrics = (): readonly MetricSample[] => {
    maxLoopLagMs = Math.max(maxLoopLagMs, loop.takeMaxLagMs());
    const { protocolErrorCount } = channels;
    return storeMetrics(loop.stateMachine.state(), now(), { maxLoopLagMs, protocolErrorCount });
  };
  const isReady = (): boolean => isStoreReady(loop.stateMachine.state(), now());
  const admin =
    settings.admin === undefined
      ? undefined
      : await startHttpServer(createAdminApp(isReady, metrics), settings.admin);
  await channels.listen();
  const contents = readDiskContents(disk);
  loop.dispatch((at) => ({ kind: 'diskRead', now: at, contents }));
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', settings.listen],
      ['data', settings.data],
    ]),
  );

  const { graceMs } = settings;
  return {
    metrics: () => formatMetrics(metrics().map((sample) => withLabel(sample, 'program', 'store'))),
    stop: async () => {
      loop.dispatch((at) => ({
        kind: 'stopRequested',
        now: at,
        ...(graceMs === undefined ? {} : { graceMs }),
      }));
      await stopCompleted;
      await delay(flushDelayMs);
      loop.stop();
      admin?.stopAccepting();
      channels.close();
      await Promise.race([disk.close(), delay(diskCloseTimeoutMs)]);
    },
  };
};
