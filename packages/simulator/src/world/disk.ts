import type { Agenda } from './agenda.js';
import type { Chance } from './chance.js';

/** What a virtual disk does just now. */
export type Mood = 'well' | 'full' | 'stalled';

interface Waiting<W> {
  readonly write: W;
  readonly done: (ok: boolean, full: boolean) => void;
  readonly mark: object;
}

/** A virtual disk: it keeps what is synced, and may fill, stall, tear, or forget all. */
export class VirtualDisk<W> {
  readonly #agenda: Agenda;
  readonly #chance: Chance;
  readonly #queue: Waiting<W>[] = [];
  #busy = false;
  #power = {};
  mood: Mood = 'well';
  /** Writes in the order in which they were synced. */
  readonly synced: W[] = [];
  torn = false;

  constructor(agenda: Agenda, chance: Chance) {
    this.#agenda = agenda;
    this.#chance = chance;
  }

  write(write: W, done: (ok: boolean, full: boolean) => void): void {
    this.#queue.push({ write, done, mark: this.#power });
    this.#go();
  }

  /** Power goes: what was not synced is gone, but for a write that may just have made it. */
  lose(): void {
    this.#power = {};
    const first = this.#queue[0];
    if (first !== undefined && this.mood === 'well' && this.#chance.hit(0.5))
      this.synced.push(first.write);
    this.#queue.splice(0);
    this.#busy = false;
  }

  /** All of it is gone, as with a new disk. */
  wipe(): void {
    this.synced.splice(0);
    this.torn = false;
  }

  calm(): void {
    this.mood = 'well';
    this.#go();
  }

  #go(): void {
    const first = this.#queue[0];
    if (this.#busy || first === undefined || this.mood === 'stalled') return;
    this.#busy = true;
    const mark = this.#power;
    this.#agenda.after(this.#chance.between(1, 8), () => {
      if (mark !== this.#power) return;
      this.#busy = false;
      if (this.mood === 'stalled') return;
      this.#queue.shift();
      const full = this.mood === 'full';
      if (!full) this.synced.push(first.write);
      first.done(!full, full);
      this.#go();
    });
  }
}
