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
  type StoreState as StoreState,
  type StoreEffect,
  type StoreEvent,
  type ReplicationSettings,
  newStoreState,
  storeTransition,
} from '@switchwheel/replicated-store';
import { holdsLease } from '@switchwheel/election';
import { buildConfiguration, runToCompletion } from '@switchwheel/configuration';
import { Actor, type Stage } from '../world/actor.js';
import { VirtualDisk } from '../world/disk.js';

/** A store in the simulation, on a virtual disk that outlives the process. */
export class SimStore extends Actor {
  readonly disk: VirtualDisk<DiskWrite>;
  readonly #seeds: () => readonly Address[];
  readonly #limits: ReplicationSettings | undefined;
  #store: StateMachine<StoreState, StoreEvent> | undefined;

  constructor(
    stage: Stage,
    node: NodeId,
    address: Address,
    area: string,
    seeds: () => readonly Address[],
    limits?: ReplicationSettings,
  ) {
    super(stage, node, address, area);
    this.#seeds = seeds;
    this.#limits = limits;
    this.disk = new VirtualDisk(stage.agenda, stage.chance.part());
  }

  get state(): StoreState | undefined {
    return this.alive ? this.#store?.state() : undefined;
  }

  protected boot(): void {
    const member: Member = {
      node: this.node,
      role: 'store',
      area: toZoneName(this.area),
      address: this.address,
      incarnation: this.incarnation,
    };
    const first = newStoreState(
      member,
      this.#seeds(),
      { seed: Math.floor(this.stage.chance.next() * 4294967296) },
      this.#limits,
    );
    this.#store = this.makeStore<StoreState, StoreEvent, StoreEffect>(
      storeTransition,
      first,
      (effect) => this.#run(effect),
    );
    const found = this.#found();
    this.later(this.stage.chance.between(5, 30), () =>
      this.#tell((now) => ({ kind: 'diskRead', now, contents: found })),
    );
  }

  override wake(): void {
    const { state, clock } = this;
    if (this.frozen && state?.isServing === true && !holdsLease(state.candidate, clock))
      this.stage.tried.note('a primary woke past its lease');
    super.wake();
  }

  protected ended(): void {
    this.disk.lose();
  }

  /** Whether it has the answer to a call. */
  keeps(id: CommandId): boolean {
    return this.state?.control.commandOutcomes.has(id) === true;
  }

  /** How far the write under way here has come, if there is one. */
  get writing(): 'disk' | 'copy' | undefined {
    const phase = this.state?.primaryWrite?.phase;
    return phase === 'disk' || phase === 'copy' ? phase : undefined;
  }

  /** What the disk holds, put together from all that was ever synced. */
  #found(): DiskContents {
    if (this.disk.torn) return { status: 'damaged', reason: 'torn' };
    const last = this.disk.synced.at(-1);
    if (last === undefined) return { status: 'empty' };
    const entries = new Map<string, KeyedEntry>();
    for (const write of this.disk.synced) {
      if (write.wipesFirst) entries.clear();
      for (const key of write.deletedKeys) entries.delete(key);
      for (const one of write.entries) entries.set(one.key, one);
    }
    return {
      status: 'complete',
      metadata: last.metadata,
      stamp: last.stamp,
      entries: [...entries.values()],
    };
  }

  #tell(make: (now: Timestamp) => StoreEvent): void {
    this.#store?.dispatch(make(this.clock));
  }

  event(make: (now: Timestamp) => ProcessEvent): void {
    this.#tell(make);
  }

  /** Asks the process to stop, within the grace if it is given. */
  stop(graceMs?: number): void {
    this.act(() =>
      this.#tell((now) => ({
        kind: 'stopRequested',
        now,
        ...(graceMs === undefined ? {} : { graceMs }),
      })),
    );
  }

  #run(effect: StoreEffect): void {
    switch (effect.kind) {
      case 'writeToDisk': {
        const { write } = effect;
        const life = this.life;
        this.disk.write(write, (ok, full) => {
          if (ok && write.wipesFirst) this.disk.torn = false;
          this.act(
            () =>
              this.#tell((now) =>
                ok
                  ? { kind: 'writeSynced', now, writeId: write.id }
                  : {
                      kind: 'writeFailed',
                      now,
                      writeId: write.id,
                      reason: 'no room',
                      isDiskFull: full,
                    },
              ),
            life,
          );
        });
        break;
      }
      case 'compileConfiguration':
        this.later(this.stage.chance.between(1, 20), () => {
          const built = runToCompletion(
            buildConfiguration(effect.texts, toGeneration(0), effect.hash),
          );
          this.#tell((now) => ({
            kind: 'configurationCompiled',
            now,
            hash: effect.hash,
            faults: built.isOk ? [] : built.error,
          }));
        });
        break;
      case 'completeStop':
        this.later(20, () => this.kill());
        break;
      case 'send':
      case 'log':
        this.wire(effect);
        break;
    }
  }
}
