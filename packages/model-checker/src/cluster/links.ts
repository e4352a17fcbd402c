/** The links between machines: partitions that stand, and faults of single messages. */

import type { Cut, Endpoint, MessageFault } from '../schedule/deviation.js';

/** How long a message takes within a machine. */
const localLatencyMs = 1;
/** How long a message takes between two machines. */
export const networkLatencyMs = 2;

/** A cut that stands: whose messages it stops, in which way, and until when. */
interface ActiveCut {
  readonly machine: number;
  readonly peer: number | 'all';
  readonly way: 'both' | 'inbound' | 'outbound';
  readonly messages: 'lost' | 'held';
  readonly until: number;
}

const isBlocking = (cut: ActiveCut, from: number, to: number): boolean => {
  const outbound = cut.machine === from && (cut.peer === 'all' || cut.peer === to);
  const inbound = cut.machine === to && (cut.peer === 'all' || cut.peer === from);
  return (outbound && cut.way !== 'inbound') || (inbound && cut.way !== 'outbound');
};

/** The cut that a message meets now, the longest first. */
const cutBetween = (
  cuts: readonly ActiveCut[],
  from: number,
  to: number,
  now: number,
): ActiveCut | undefined =>
  cuts
    .filter((one) => now < one.until && isBlocking(one, from, to))
    .sort((one, two) => two.until - one.until)[0];

const sameEndpoint = (one: Endpoint, two: Endpoint): boolean =>
  one.machine === two.machine && one.role === two.role;

/** Whether a fault is meant for this message. */
const faultApplies = (
  fault: MessageFault,
  frame: string,
  from: Endpoint,
  to: Endpoint,
  now: number,
): boolean =>
  now >= fault.at &&
  fault.frame === frame &&
  sameEndpoint(fault.from, from) &&
  sameEndpoint(fault.to, to);

/** Partitions and message faults of one run. A clone goes its own way. */
export class Links {
  #cuts: readonly ActiveCut[] = [];
  #messageFaults: readonly MessageFault[] = [];

  /** An independent copy. */
  clone(): Links {
    const copy = new Links();
    copy.#cuts = this.#cuts;
    copy.#messageFaults = this.#messageFaults;
    return copy;
  }

  /** Begins a partition; those that ended longer ago than `rememberMs` are forgotten. */
  addCut(cut: Cut, now: number, rememberMs: number): void {
    this.#cuts = [
      ...this.#cuts.filter((one) => now - one.until < rememberMs),
      { ...cut, until: now + cut.forMs },
    ];
  }

  addMessageFault(fault: MessageFault): void {
    this.#messageFaults = [...this.#messageFaults, fault];
  }

  /** Whether messages from one machine to the other do not pass now. */
  isCut(from: number, to: number, now: number): boolean {
    return cutBetween(this.#cuts, from, to, now) !== undefined;
  }

  /** Whether a machine was cut off, wholly or from one other, at some time within a span up to now. */
  wasCutWithin(machine: number, durationMs: number, now: number): boolean {
    return this.#cuts.some(
      (cut) => (cut.machine === machine || cut.peer === machine) && now - cut.until < durationMs,
    );
  }

  /** After how long each copy of a message arrives: none if it is lost, several if it is repeated. */
  deliveryDelays(frame: string, from: Endpoint, to: Endpoint, now: number): readonly number[] {
    const cut = cutBetween(this.#cuts, from.machine, to.machine, now);
    if (cut?.messages === 'lost') return [];
    const latencyMs = from.machine === to.machine ? localLatencyMs : networkLatencyMs;
    const delayMs = cut === undefined ? latencyMs : cut.until - now + latencyMs;
    const fault = this.#messageFaults.find((one) => faultApplies(one, frame, from, to, now));
    if (fault === undefined) return [delayMs];
    this.#messageFaults = this.#messageFaults.filter((one) => one !== fault);
    switch (fault.action.action) {
      case 'drop':
        return [];
      case 'delay':
        return [delayMs + fault.action.byMs];
      case 'repeat':
        return [delayMs, delayMs + fault.action.afterMs];
    }
  }
}
