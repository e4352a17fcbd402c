import type { Agenda } from './agenda.js';
import type { Chance } from './chance.js';

/** How the virtual network treats what is sent over it. */
export interface Weather {
  readonly least: number;
  readonly most: number;
  readonly loss: number;
  readonly twice: number;
  readonly lag: number;
}
export const fair: Weather = { least: 0.2, most: 2, loss: 0, twice: 0, lag: 0 };
/** Every link is slow, as over long and crowded lines. */
export const slow: Weather = { least: 25, most: 90, loss: 0, twice: 0, lag: 0.03 };
export const rough: Weather = { least: 0.2, most: 8, loss: 0.02, twice: 0.02, lag: 0.02 };

/** Is told what is sent over the network and what arrives; it draws nothing and schedules nothing. */
export interface NetworkObserver {
  readonly sent: (from: string, to: string) => void;
  readonly delivered: (from: string, to: string) => void;
}

/** A virtual network: cut one way or both, slow, losing, doubling and reordering. */
export class Net {
  readonly #agenda: Agenda;
  readonly #chance: Chance;
  readonly #cuts = new Set<string>();
  /** What waits in channels whose way is stalled: it arrives, late, once the way is whole. */
  readonly #stalled = new Map<string, (() => void)[]>();
  readonly #refused = new Set<string>();
  weather: Weather = fair;
  sent = 0;
  observer: NetworkObserver | undefined;

  constructor(agenda: Agenda, chance: Chance) {
    this.#agenda = agenda;
    this.#chance = chance;
  }

  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Nothing gets through, nobody is told, and all that is sent meanwhile arrives after the healing. */
  stall(from: string, to: string): void {
    this.#stalled.set(`${from}>${to}`, []);
    this.cut(from, to);
  }

  /** Nothing gets through, and whoever sends is told at once that the channel is over. */
  refuse(from: string, to: string): void {
    this.#refused.add(`${from}>${to}`);
    this.cut(from, to);
  }

  refuses(from: string, to: string): boolean {
    return this.#refused.has(`${from}>${to}`);
  }

  /** How many ways are cut. */
  get cuts(): number {
    return this.#cuts.size;
  }

  heal(): void {
    const late = [...this.#stalled.values()].flat();
    this.#cuts.clear();
    this.#stalled.clear();
    this.#refused.clear();
    for (const arrive of late) this.#agenda.after(this.#delay(), arrive);
  }

  open(from: string, to: string): boolean {
    return !this.#cuts.has(`${from}>${to}`);
  }

  #delay(): number {
    const { least, most, lag } = this.weather;
    const plain = this.#chance.between(least, most);
    return this.#chance.hit(lag) ? plain + this.#chance.between(20, 200) : plain;
  }

  /** Tells the observer that something is sent, and again when it arrives. */
  #observed(from: string, to: string, arrive: () => void): () => void {
    const { observer } = this;
    if (observer === undefined) return arrive;
    observer.sent(from, to);
    return () => {
      observer.delivered(from, to);
      arrive();
    };
  }

  /** Carries something over that may be lost, doubled or overtaken. */
  carry(from: string, to: string, act: () => void): void {
    this.sent += 1;
    const arrive = this.#observed(from, to, act);
    const waiting = this.#stalled.get(`${from}>${to}`);
    if (waiting !== undefined) {
      waiting.push(arrive);
      return;
    }
    if (!this.open(from, to) || this.#chance.hit(this.weather.loss)) return;
    const land = (): void => {
      if (this.open(from, to)) arrive();
    };
    this.#agenda.after(this.#delay(), land);
    if (this.#chance.hit(this.weather.twice)) this.#agenda.after(this.#delay(), land);
  }

  /** Carries something over a channel that keeps order and loses nothing while it stands. */
  stream(from: string, to: string, lane: { free: number }, act: () => void): void {
    this.sent += 1;
    const arrive = this.#observed(from, to, act);
    const at = Math.max(this.#agenda.now + this.#delay(), lane.free);
    lane.free = at;
    const land = (): void => {
      if (this.open(from, to)) arrive();
      else this.#agenda.after(50, land);
    };
    this.#agenda.after(at - this.#agenda.now, land);
  }
}
