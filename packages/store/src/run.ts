import {
  type Address,
  type ZoneName,
  type NodeId,
  toGeneration,
  totalViolations,
} from '@switchwheel/types';
import { type WireEffect, ChannelPool } from '@switchwheel/transport';
import {
  type ReplicationSettings,
  type Store,
  type StoreEffect,
  type StoreEvent,
  inSync,
  isPrimary,
  newStore,
  defaultReplication,
  storeStep,
} from '@switchwheel/replicated-store';
import { build } from '@switchwheel/configuration';
import {
  Disk,
  type Log,
  type Reading,
  type Running,
  adminApp,
  inSlices,
  isWireEffect,
  metricsText,
  newDice,
  newIncarnation,
  now,
  openDoor,
  plainReading as plain,
  runLoop,
  wait,
  withLabel,
} from '@switchwheel/runtime';
import { changeOf, findOn } from './rows.js';

/** What a store needs to know of its place. */
export interface StoreBoot {
  readonly node: NodeId;
  readonly area: ZoneName;
  readonly listen: Address;
  readonly seeds: readonly Address[];
  readonly data: string;
  readonly admin?: Address;
  /** How many copies are kept, and how many may be lost at once. */
  readonly limits?: ReplicationSettings;
  /** How often time is let pass, in milliseconds. */
  readonly tickMs?: number;
  /** How long a stop may wait until duty and copy stand elsewhere, in milliseconds. */
  readonly graceMs?: number;
  /** Whether a fleet may be founded on this store. */
  readonly foundable?: boolean;
}

/** Opens the data folder; throws with the reason if it can't be used. */
export const openData = (folder: string): Disk => new Disk(folder);

/** How often a data folder that can't be opened is tried again. */
const openRetryMs = 500;

/** Opens the data folder, and waits while its disk takes nothing: the rest of the process serves meanwhile. */
export const openDataWhenPossible = async (folder: string, log: Log): Promise<Disk> => {
  for (let tries = 0; ; tries += 1) {
    try {
      return openData(folder);
    } catch (problem) {
      const why = problem instanceof Error ? problem.message : 'unknown';
      if (tries === 0)
        log.write('error', 'the data folder cannot be opened', new Map([['why', why]]));
      await wait(openRetryMs);
    }
  }
};

/** A store that runs in this process. */
export interface RunningStore extends Running {
  /** Its readings as scrapers take them, for a program that shows them beside its own. */
  readonly metrics: () => string;
}

/** Starts a store. */
export const startStore = async (boot: StoreBoot, log: Log, disk: Disk): Promise<RunningStore> => {
  const member = {
    node: boot.node,
    role: 'store' as const,
    area: boot.area,
    address: boot.listen,
    ...(boot.admin === undefined ? {} : { admin: boot.admin }),
    incarnation: newIncarnation(),
  };
  const yard = new ChannelPool({
    node: member.node,
    address: member.address,
    incarnation: member.incarnation,
  });

  type OwnEffect = Exclude<StoreEffect, WireEffect>;
  let stopped: () => void = () => undefined;
  const run = (effect: OwnEffect): void => {
    switch (effect.kind) {
      case 'sync': {
        const id = effect.write.id;
        void disk
          .write(changeOf(effect.write))
          .then((done) =>
            loop.tell((at) =>
              done.isOk
                ? { kind: 'synced', now: at, id }
                : { kind: 'unsynced', now: at, id, text: done.error.text, full: done.error.full },
            ),
          );
        break;
      }
      case 'compile':
        void inSlices(build(effect.texts, toGeneration(0), effect.hash)).then((built) =>
          loop.tell((at) => ({
            kind: 'compiled',
            now: at,
            hash: effect.hash,
            faults: built.isOk ? [] : built.error,
          })),
        );
        break;
      case 'stopped':
        stopped();
        break;
    }
  };
  const isOwnWire = (effect: StoreEffect): effect is WireEffect => isWireEffect(effect);
  const loop = runLoop<Store, StoreEvent, OwnEffect>(
    storeStep,
    newStore(
      member,
      boot.seeds,
      newDice(),
      boot.limits ?? defaultReplication,
      boot.foundable ?? true,
    ),
    yard,
    log,
    run,
    isOwnWire,
    boot.tickMs,
  );
  const state = loop.store.state;

  let worstLag = 0;
  const readings = (): readonly Reading[] => {
    const one = state();
    worstLag = Math.max(worstLag, loop.lag());
    return [
      plain('primary', isPrimary(one, now()) ? 1 : 0),
      plain('in_sync', inSync(one) ? 1 : 0),
      plain('entries', one.table.size),
      plain('epoch', one.metadata?.epoch ?? 0),
      plain('writes_waiting', one.commandQueue.length),
      plain('disk_full', one.diskFull === undefined ? 0 : 1),
      plain('generation', one.control.stored?.offer.generation ?? 0),
      plain('pieces', one.control.pieces.size),
      plain('piece_requests_missed_total', one.missedPieceRequests),
      plain('invariant_violations_total', totalViolations(one.violations)),
      plain('loop_lag_worst_ms', worstLag),
      plain('foreign_channels_total', yard.foreign),
      plain('memory_bytes', process.memoryUsage.rss()),
    ];
  };
  const ready = (): boolean =>
    state().phase === 'member' && (isPrimary(state(), now()) || inSync(state()));
  const admin =
    boot.admin === undefined ? undefined : await openDoor(adminApp(ready, readings), boot.admin);
  await yard.listen();
  const found = findOn(disk);
  loop.tell((at) => ({ kind: 'read', now: at, found }));
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', boot.listen],
      ['data', boot.data],
    ]),
  );

  return {
    metrics: () => metricsText(readings().map((one) => withLabel(one, 'program', 'store'))),
    stop: async () => {
      const over = new Promise<void>((done) => {
        stopped = done;
      });
      loop.tell((at) => ({
        kind: 'stop',
        now: at,
        ...(boot.graceMs === undefined ? {} : { graceMs: boot.graceMs }),
      }));
      await over;
      // Last words leave before the channels close.
      await wait(100);
      loop.end();
      admin?.shut();
      yard.close();
      await Promise.race([disk.close(), wait(1000)]);
    },
  };
};
