import {
  type Address,
  type ZoneName,
  type NodeId,
  toGeneration,
  totalViolations,
} from '@switchwheel/types';
import { type ProcessEffect, ChannelPool } from '@switchwheel/transport';
import {
  type ReplicationSettings,
  type StoreState,
  type StoreEffect,
  type StoreEvent,
  inSync,
  isPrimary,
  newStoreState,
  defaultReplicationSettings,
  storeTransition,
} from '@switchwheel/replicated-store';
import { buildConfiguration } from '@switchwheel/configuration';
import {
  Disk,
  type Logger,
  type MetricSample,
  type RunningProgram,
  adminApp,
  runTimeSliced,
  isProcessEffect,
  formatMetrics,
  newRandomState,
  newIncarnation,
  now,
  startHttpServer,
  metricSample as plain,
  runEventLoop,
  delay,
  withLabel,
} from '@switchwheel/runtime';
import { rowsOf, readDisk } from './disk-rows.js';

/** What a store needs to know of its place. */
export interface StoreSettings {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly listen: Address;
  readonly seeds: readonly Address[];
  readonly data: string;
  readonly admin?: Address;
  /** How many copies are kept, and how many may be lost at once. */
  readonly replication?: ReplicationSettings;
  /** How often time is let pass, in milliseconds. */
  readonly tickMs?: number;
  /** How long a stop may wait until duty and copy stand elsewhere, in milliseconds. */
  readonly graceMs?: number;
  /** Whether a fleet may be founded on this store. */
  readonly mayBootstrap?: boolean;
}

/** Opens the data folder; throws with the reason if it can't be used. */
export const openData = (folder: string): Disk => new Disk(folder);

/** How often a data folder that can't be opened is tried again. */
const openRetryMs = 500;

/** Opens the data folder, and waits while its disk takes nothing: the rest of the process serves meanwhile. */
export const openDataWithRetry = async (folder: string, log: Logger): Promise<Disk> => {
  for (let tries = 0; ; tries += 1) {
    try {
      return openData(folder);
    } catch (problem) {
      const why = problem instanceof Error ? problem.message : 'unknown';
      if (tries === 0)
        log.write('error', 'the data folder cannot be opened', new Map([['why', why]]));
      await delay(openRetryMs);
    }
  }
};

/** A store that runs in this process. */
export interface RunningStore extends RunningProgram {
  /** Its readings as scrapers take them, for a program that shows them beside its own. */
  readonly metrics: () => string;
}

/** Starts a store. */
export const startStore = async (
  settings: StoreSettings,
  log: Logger,
  disk: Disk,
): Promise<RunningStore> => {
  const member = {
    node: settings.node,
    role: 'store' as const,
    area: settings.zone,
    address: settings.listen,
    ...(settings.admin === undefined ? {} : { admin: settings.admin }),
    incarnation: newIncarnation(),
  };
  const yard = new ChannelPool({
    node: member.node,
    address: member.address,
    incarnation: member.incarnation,
  });

  type OwnEffect = Exclude<StoreEffect, ProcessEffect>;
  let stopped: () => void = () => undefined;
  const run = (effect: OwnEffect): void => {
    switch (effect.kind) {
      case 'writeToDisk': {
        const id = effect.write.id;
        void disk.write(rowsOf(effect.write)).then((done) =>
          loop.dispatch((at) =>
            done.isOk
              ? { kind: 'writeSynced', now: at, writeId: id }
              : {
                  kind: 'writeFailed',
                  now: at,
                  writeId: id,
                  reason: done.error.text,
                  isDiskFull: done.error.full,
                },
          ),
        );
        break;
      }
      case 'compileConfiguration':
        void runTimeSliced(buildConfiguration(effect.texts, toGeneration(0), effect.hash)).then(
          (built) =>
            loop.dispatch((at) => ({
              kind: 'configurationCompiled',
              now: at,
              hash: effect.hash,
              faults: built.isOk ? [] : built.error,
            })),
        );
        break;
      case 'completeStop':
        stopped();
        break;
    }
  };
  const isOwnWire = (effect: StoreEffect): effect is ProcessEffect => isProcessEffect(effect);
  const loop = runEventLoop<StoreState, StoreEvent, OwnEffect>(
    storeTransition,
    newStoreState(
      member,
      settings.seeds,
      newRandomState(),
      settings.replication ?? defaultReplicationSettings,
      settings.mayBootstrap ?? true,
    ),
    yard,
    log,
    run,
    isOwnWire,
    settings.tickMs,
  );
  const state = loop.machine.state;

  let worstLag = 0;
  const readings = (): readonly MetricSample[] => {
    const one = state();
    worstLag = Math.max(worstLag, loop.takeMaxLagMs());
    return [
      plain('primary', isPrimary(one, now()) ? 1 : 0),
      plain('in_sync', inSync(one) ? 1 : 0),
      plain('entries', one.table.size),
      plain('epoch', one.metadata?.epoch ?? 0),
      plain('writes_waiting', one.commandQueue.length),
      plain('disk_full', one.diskFullAt === undefined ? 0 : 1),
      plain('generation', one.control.configuration?.offer.generation ?? 0),
      plain('pieces', one.control.chunks.size),
      plain('piece_requests_missed_total', one.missedChunkRequests),
      plain('invariant_violations_total', totalViolations(one.violations)),
      plain('loop_lag_worst_ms', worstLag),
      plain('foreign_channels_total', yard.protocolErrorCount),
      plain('memory_bytes', process.memoryUsage.rss()),
    ];
  };
  const ready = (): boolean =>
    state().phase === 'member' && (isPrimary(state(), now()) || inSync(state()));
  const admin =
    settings.admin === undefined
      ? undefined
      : await startHttpServer(adminApp(ready, readings), settings.admin);
  await yard.listen();
  const found = readDisk(disk);
  loop.dispatch((at) => ({ kind: 'diskRead', now: at, contents: found }));
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', settings.listen],
      ['data', settings.data],
    ]),
  );

  return {
    metrics: () => formatMetrics(readings().map((one) => withLabel(one, 'program', 'store'))),
    stop: async () => {
      const over = new Promise<void>((done) => {
        stopped = done;
      });
      loop.dispatch((at) => ({
        kind: 'stopRequested',
        now: at,
        ...(settings.graceMs === undefined ? {} : { graceMs: settings.graceMs }),
      }));
      await over;
      // Last words leave before the channels close.
      await delay(100);
      loop.stop();
      admin?.stopAccepting();
      yard.close();
      await Promise.race([disk.close(), delay(1000)]);
    },
  };
};
