/** Links between machines: network partitions and faults of single messages. */

import type { Cut, Endpoint, MessageFault } from '../schedule/deviation.js';

/** Delay of a message within a machine. */
const localLatencyMs = 1;
/** Delay of a message between two machines. */
export const networkLatencyMs = 2;

/** Network partition with the time at which it ends. */
interface ActiveCut {
  readonly machine: number;
  readonly peer: number | 'all';
  readonly direction: 'both' | 'inbound' | 'outbound';
  readonly messages: 'lost' | 'held';
  readonly until: number;
}

const isBlocking = (cut: ActiveCut, from: number, to: number): boolean => {
  const outbound = cut.machine === from && (cut.peer === 'all' || cut.peer === to);
  const inbound = cut.machine === to && (cut.peer === 'all' || cut.peer === from);
  return (outbound && cut.direction !== 'inbound') || (inbound && cut.direction !== 'outbound');
};

/** Returns the active cut that blocks a message; the one that ends last, if there are several. */
const cutBetween = (
  cuts: readonly ActiveCut[],
  from: number,
  to: number,
  now: number,
): ActiveCut | undefined =>
  cuts
    .filter((cut) => now < cut.until && isBlocking(cut, from, to))
    .sort((left, right) => right.until - left.until)[0];

const isSameEndpoint = (left: Endpoint, right: Endpoint): boolean =>
  left.machine === right.machine && left.role === right.role;

const faultApplies = (
  fault: MessageFault,
  frame: string,
  from: Endpoint,
  to: Endpoint,
  now: number,
): boolean =>
  now >= fault.at &&
  fault.frame === frame &&
  isSameEndpoint(fault.from, from) &&
  isSameEndpoint(fault.to, to);

/** Network partitions and message faults of one run. */
export class Links {
  #cuts: readonly ActiveCut[] = [];
  #messageFaults: readonly MessageFault[] = [];

  /** Returns an independent copy. */
  clone(): Links {
    const copy = new Links();
    copy.#cuts = this.#cuts;
    copy.#messageFaults = this.#messageFaults;
    return copy;
  }

  /** Starts a partition, and drops the records of those that ended more than `rememberMs` ago. */
  addCut(cut: Cut, now: number, rememberMs: number): void {
    this.#cuts = [
      ...this.#cuts.filter((ended) => now - ended.until < rememberMs),
      { ...cut, until: now + cut.durationMs },
    ];
  }

  addMessageFault(fault: MessageFault): void {
    this.#messageFaults = [...this.#messageFaults, fault];
  }

  /** Whether messages from one machine to the other are blocked now. */
  isCut(from: number, to: number, now: number): boolean {
    return cutBetween(this.#cuts, from, to, now) !== undefined;
  }

  /** Whether a machine was partitioned from any other within the last `durationMs`. */
  wasCutWithin(machine: number, durationMs: number, now: number): boolean {
    return this.#cuts.some(
      (cut) => (cut.machine === machine || cut.peer === machine) && now - cut.until < durationMs,
    );
  }

  /** Returns the delay of each delivery of a message: none if it is lost, two if it is repeated. */
  deliveryDelays(frame: string, from: Endpoint, to: Endpoint, now: number): readonly number[] {
    const cut = cutBetween(this.#cuts, from.machine, to.machine, now);
    if (cut?.messages === 'lost') return [];
    const latencyMs = from.machine === to.machine ? localLatencyMs : networkLatencyMs;
    const delayMs = cut === undefined ? latencyMs : cut.until - now + latencyMs;
    const fault = this.#messageFaults.find((candidate) =>
      faultApplies(candidate, frame, from, to, now),
    );
    if (fault === undefined) return [delayMs];
    this.#messageFaults = this.#messageFaults.filter((other) => other !== fault);
    switch (fault.action.kind) {
      case 'drop':
        return [];
      case 'delay':
        return [delayMs + fault.action.byMs];
      case 'repeat':
        return [delayMs, delayMs + fault.action.afterMs];
    }
  }
}
