/**
 * Composition root of a store: wires the state machine of the replicated-store package to channels, the disk and the
 * administration server, and stops them in order. It decides nothing itself.
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
import { readDisk } from './disk-rows.js';
import { type StoreOnlyEffect, runStoreEffect } from './store-effects.js';
import { isStoreReady, storeMetrics } from './store-metrics.js';

/** What a store needs to know of its place. */
export interface StoreSettings {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly listen: Address;
  readonly seeds: readonly Address[];
  readonly data: string;
  readonly admin?: Address;
  /** How many replicas are kept, and how many may be lost at once. */
  readonly replication?: ReplicationSettings;
  /** How often the state machine gets a tick, in milliseconds. */
  readonly tickMs?: number;
  /** How long a stop may wait until lease and replica are with other stores, in milliseconds. */
  readonly graceMs?: number;
  /** Whether a fleet may be bootstrapped on this store. */
  readonly mayBootstrap?: boolean;
}

/** A store that runs in this process. */
export interface RunningStore extends RunningProgram {
  /** Its metrics as scrapers take them, for a program that shows them beside its own. */
  readonly metrics: () => string;
}

/** How long the last frames have to leave before the channels close. */
const lastFramesMs = 100;
/** How long a stop waits for the disk to close. */
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
  /** Settled once the state machine has nothing left to do before the process ends. */
  readonly stopCompleted: Promise<void>;
}

const runStateMachine = (
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
    settings.tickMs,
  );
  return { loop, stopCompleted };
};

/** Starts a store on an open data folder; resolves once it listens and has read its disk. */
export const startStore = async (
  settings: StoreSettings,
  log: Logger,
  disk: Disk,
): Promise<RunningStore> => {
  const member = memberOf(settings);
  const { node, address, incarnation } = member;
  const channels = new ChannelPool({ node, address, incarnation });
  const { loop, stopCompleted } = runStateMachine(settings, member, channels, log, disk);

  let worstLoopLagMs = 0;
  const metrics = (): readonly MetricSample[] => {
    worstLoopLagMs = Math.max(worstLoopLagMs, loop.takeMaxLagMs());
    const { protocolErrorCount } = channels;
    return storeMetrics(loop.stateMachine.state(), now(), { worstLoopLagMs, protocolErrorCount });
  };
  const isReady = (): boolean => isStoreReady(loop.stateMachine.state(), now());
  const admin =
    settings.admin === undefined
      ? undefined
      : await startHttpServer(createAdminApp(isReady, metrics), settings.admin);
  await channels.listen();
  const contents = readDisk(disk);
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
      await delay(lastFramesMs);
      loop.stop();
      admin?.stopAccepting();
      channels.close();
      await Promise.race([disk.close(), delay(diskCloseTimeoutMs)]);
    },
  };
};
