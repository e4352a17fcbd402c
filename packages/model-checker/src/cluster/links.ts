import type { Endpoint, MessageFault } from '../schedule/deviation.js';

/** A cut that stands: whose messages it stops, in which way, and until when. */
export interface ActiveCut {
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
export const cutBetween = (
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
export const faultApplies = (
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
