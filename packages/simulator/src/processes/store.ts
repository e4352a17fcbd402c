/** A store: the production state machine on a virtual disk that outlives the process. */

import {
  type Address,
  type CommandId,
  type Timestamp,
  type NodeId,
  type StateMachine,
  toZoneName,
  toGeneration,
} from '@switchwheel/types';
import type { Member, ProcessEvent } from '@switchwheel/transport';
import {
  type DiskWrite,
  type DiskContents,
  type KeyedEntry,
  type StoreState,
  type StoreEffect,
  type StoreEvent,
  type ReplicationSettings,
  newStoreState,
  storeTransition,
} from '@switchwheel/replicated-store';
import { holdsLease } from '@switchwheel/election';
import { buildConfiguration, runToCompletion } from '@switchwheel/configuration';
import { SimulatedProcess, type SimulationContext } from '../world/process.js';
import { VirtualDisk } from '../world/virtual-disk.js';

/** A simulated store process with its disk. */
export class SimulatedStore extends SimulatedProcess {
  readonly disk: VirtualDisk<DiskWrite>;
  readonly #seeds: () => readonly Address[];
  readonly #replication: ReplicationSettings | undefined;
  #stateMachine: StateMachine<StoreState, StoreEvent> | undefined;

  constructor(
    context: SimulationContext,
    node: NodeId,
    address: Address,
    zone: string,
    seeds: () => readonly Address[],
    replication?: ReplicationSettings,
  ) {
    super(context, node, address, zone);
    this.#seeds = seeds;
    this.#replication = replication;
    this.disk = new VirtualDisk(context.eventQueue, context.random.fork());
  }

  get state(): StoreState | undefined {
    return this.isAlive ? this.#stateMachine?.state() : undefined;
  }

  protected onStart(): void {
    const member: Member = {
      node: this.node,
      role: 'store',
      area: toZoneName(this.zone),
      address: this.address,
      incarnation: this.incarnation,
    };
    const initialState = newStoreState(
      member,
      this.#seeds(),
      { seed: Math.floor(this.context.random.next() * 4294967296) },
      this.#replication,
    );
    this.#stateMachine = this.createStateMachine<StoreState, StoreEvent, StoreEffect>(
      storeTransition,
      initialState,
      (effect) => this.#runEffect(effect),
    );
    const contents = this.#readDisk();
    this.schedule(this.context.random.uniform(5, 30), () =>
      this.#dispatchNow((now) => ({ kind: 'diskRead', now, contents })),
    );
  }

  override resume(): void {
    const { state, clock } = this;
    if (this.isFrozen && state?.isServing === true && !holdsLease(state.candidate, clock))
      this.context.coverage.record('a primary resumed past its lease');
    super.resume();
  }

  protected onTerminated(): void {
    this.disk.losePower();
  }

  /** Whether the outcome of a command is stored here. */
  hasResultOf(id: CommandId): boolean {
    return this.state?.control.commandOutcomes.has(id) === true;
  }

  /** Phase of the primary's current write; undefined if there is none. */
  get writePhase(): 'writingToDisk' | 'replicating' | undefined {
    const phase = this.state?.primaryWrite?.phase;
    return phase === 'writingToDisk' || phase === 'replicating' ? phase : undefined;
  }

  /** Content of the disk, rebuilt from all synced writes. */
  #readDisk(): DiskContents {
    if (this.disk.isTorn) return { status: 'damaged', reason: 'torn write' };
    const lastWrite = this.disk.synced.at(-1);
    if (lastWrite === undefined) return { status: 'empty' };
    const entries = new Map<string, KeyedEntry>();
    for (const write of this.disk.synced) {
      if (write.wipesFirst) entries.clear();
      for (const key of write.deletedKeys) entries.delete(key);
      for (const entry of write.entries) entries.set(entry.key, entry);
    }
    return {
      status: 'complete',
      metadata: lastWrite.metadata,
      logPosition: lastWrite.logPosition,
      entries: [...entries.values()],
    };
  }

  #dispatchNow(makeEvent: (now: Timestamp) => StoreEvent): void {
    this.#stateMachine?.dispatch(makeEvent(this.clock));
  }

  dispatch(makeEvent: (now: Timestamp) => ProcessEvent): void {
    this.#dispatchNow(makeEvent);
  }

  /** Requests a graceful stop, within `graceMs` if given. */
  stop(graceMs?: number): void {
    this.execute(() =>
      this.#dispatchNow((now) => ({
        kind: 'stopRequested',
        now,
        ...(graceMs === undefined ? {} : { graceMs }),
      })),
    );
  }

  #runEffect(effect: StoreEffect): void {
    switch (effect.kind) {
      case 'writeToDisk': {
        const { write } = effect;
        const incarnationNumber = this.incarnationNumber;
        this.disk.write(write, (isSynced, isDiskFull) => {
          if (isSynced && write.wipesFirst) this.disk.isTorn = false;
          this.execute(
            () =>
              this.#dispatchNow((now) =>
                isSynced
                  ? { kind: 'writeSynced', now, writeId: write.id }
                  : {
                      kind: 'writeFailed',
                      now,
                      writeId: write.id,
                      reason: 'no space left on device',
                      isDiskFull,
                    },
              ),
            incarnationNumber,
          );
        });
        break;
      }
      case 'compileConfiguration':
        this.schedule(this.context.random.uniform(1, 20), () => {
          const compiled = runToCompletion(
            buildConfiguration(effect.texts, toGeneration(0), effect.hash),
          );
          this.#dispatchNow((now) => ({
            kind: 'configurationCompiled',
            now,
            hash: effect.hash,
            issues: compiled.isOk ? [] : compiled.error,
          }));
        });
        break;
      case 'completeStop':
        this.schedule(20, () => this.kill());
        break;
      case 'send':
      case 'log':
        this.runProcessEffect(effect);
        break;
    }
  }
}
