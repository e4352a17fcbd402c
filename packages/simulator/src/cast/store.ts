import {
  type Address,
  type CallId,
  type Timestamp,
  type NodeId,
  type Store,
  toZoneName,
  toGeneration,
} from '@switchwheel/types';
import type { Member, WireEvent } from '@switchwheel/transport';
import {
  type DiskWrite,
  type Found,
  type KeyedEntry,
  type Store as StoreState,
  type StoreEffect,
  type StoreEvent,
  type ReplicationSettings,
  newStore,
  storeStep,
} from '@switchwheel/replicated-store';
import { holdsLease } from '@switchwheel/election';
import { build, finish } from '@switchwheel/configuration';
import { Actor, type Stage } from '../world/actor.js';
import { VirtualDisk } from '../world/disk.js';

/** A store in the simulation, on a virtual disk that outlives the process. */
export class SimStore extends Actor {
  readonly disk: VirtualDisk<DiskWrite>;
  readonly #seeds: () => readonly Address[];
  readonly #limits: ReplicationSettings | undefined;
  #store: Store<StoreState, StoreEvent> | undefined;

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
    const first = newStore(
      member,
      this.#seeds(),
      { seed: Math.floor(this.stage.chance.next() * 4294967296) },
      this.#limits,
    );
    this.#store = this.makeStore<StoreState, StoreEvent, StoreEffect>(storeStep, first, (effect) =>
      this.#run(effect),
    );
    const found = this.#found();
    this.later(this.stage.chance.between(5, 30), () =>
      this.#tell((now) => ({ kind: 'read', now, found })),
    );
  }

  override wake(): void {
    const { state, clock } = this;
    if (this.frozen && state?.serving === true && !holdsLease(state.candidate, clock))
      this.stage.tried.note('a primary woke past its lease');
    super.wake();
  }

  protected ended(): void {
    this.disk.lose();
  }

  /** Whether it has the answer to a call. */
  keeps(id: CallId): boolean {
    return this.state?.control.calls.has(id) === true;
  }

  /** How far the write under way here has come, if there is one. */
  get writing(): 'disk' | 'copy' | undefined {
    const phase = this.state?.primaryWrite?.phase;
    return phase === 'disk' || phase === 'copy' ? phase : undefined;
  }

  /** What the disk holds, put together from all that was ever synced. */
  #found(): Found {
    if (this.disk.torn) return { found: 'damaged', text: 'torn' };
    const last = this.disk.synced.at(-1);
    if (last === undefined) return { found: 'nothing' };
    const entries = new Map<string, KeyedEntry>();
    for (const write of this.disk.synced) {
      if (write.wipe) entries.clear();
      for (const key of write.drops) entries.delete(key);
      for (const one of write.sets) entries.set(one.key, one);
    }
    return {
      found: 'whole',
      metadata: last.metadata,
      stamp: last.stamp,
      entries: [...entries.values()],
    };
  }

  #tell(make: (now: Timestamp) => StoreEvent): void {
    this.#store?.dispatch(make(this.clock));
  }

  event(make: (now: Timestamp) => WireEvent): void {
    this.#tell(make);
  }

  /** Asks the process to stop, within the grace if it is given. */
  stop(graceMs?: number): void {
    this.act(() =>
      this.#tell((now) => ({ kind: 'stop', now, ...(graceMs === undefined ? {} : { graceMs }) })),
    );
  }

  #run(effect: StoreEffect): void {
    switch (effect.kind) {
      case 'sync': {
        const { write } = effect;
        const life = this.life;
        this.disk.write(write, (ok, full) => {
          if (ok && write.wipe) this.disk.torn = false;
          this.act(
            () =>
              this.#tell((now) =>
                ok
                  ? { kind: 'synced', now, id: write.id }
                  : { kind: 'unsynced', now, id: write.id, text: 'no room', full },
              ),
            life,
          );
        });
        break;
      }
      case 'compile':
        this.later(this.stage.chance.between(1, 20), () => {
          const built = finish(build(effect.texts, toGeneration(0), effect.hash));
          this.#tell((now) => ({
            kind: 'compiled',
            now,
            hash: effect.hash,
            faults: built.isOk ? [] : built.error,
          }));
        });
        break;
      case 'stopped':
        this.later(20, () => this.kill());
        break;
      case 'send':
      case 'log':
        this.wire(effect);
        break;
    }
  }
}
