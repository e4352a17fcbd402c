import { holdsLease } from '@switchwheel/election';
import { clockOf } from '../cluster/machine.js';
import type { Occurrence, Simulation } from '../cluster/simulation.js';
import type { Deviation } from '../schedule/deviation.js';

/** Messages that the protocols of election, replication and membership rest on. */
const protocolFrames: ReadonlySet<string> = new Set([
  'vote-request',
  'vote',
  'replicate',
  'replicated',
  'range-listing',
  'fetch-entries',
  'resync-entries',
  'feed',
  'called',
]);

const shortDelayMs = 400;
/** More than a lease. */
const longDelayMs = 1400;
const restartMs = 5;
/** A fault is set after the event that sent the message beside it. */
const afterEventMs = 0.5;

const messageDeviations = (one: Occurrence): readonly Deviation[] => {
  const { at, frame, from, to } = one;
  if (frame === undefined || from === undefined || to === undefined) return [];
  const base = { kind: 'message', at, frame, from, to } as const;
  return [
    { ...base, action: { action: 'drop' } },
    { ...base, action: { action: 'delay', byMs: shortDelayMs } },
    { ...base, action: { action: 'delay', byMs: longDelayMs } },
    { ...base, action: { action: 'repeat', afterMs: longDelayMs } },
  ];
};

const machineDeviations = (machine: number, sentAt: number): readonly Deviation[] => {
  const at = sentAt + afterEventMs;
  return [
    { kind: 'crash', at, machine, forMs: restartMs, disk: 'kept' },
    { kind: 'crash', at, machine, forMs: restartMs, disk: 'lost' },
    { kind: 'crash', at, machine, forMs: longDelayMs, disk: 'kept with pending write' },
    { kind: 'pause', at, machine, forMs: shortDelayMs * 2 },
    { kind: 'pause', at, machine, forMs: longDelayMs },
    { kind: 'cut', at, machine, peer: 'all', way: 'both', messages: 'lost', forMs: longDelayMs },
    { kind: 'cut', at, machine, peer: 'all', way: 'both', messages: 'held', forMs: longDelayMs },
    { kind: 'cut', at, machine, peer: 'all', way: 'inbound', messages: 'lost', forMs: longDelayMs },
    { kind: 'disk', at, machine, trouble: 'stalled', forMs: longDelayMs },
    { kind: 'disk', at, machine, trouble: 'full', forMs: longDelayMs },
  ];
};

/**
 * Machines of which one stands for all that are alike: the leader, and of the followers the first
 * with a copy and the first without one.
 */
const representatives = (simulation: Simulation): ReadonlySet<number> => {
  const leader = simulation.machines.find(
    (one) =>
      one.store !== undefined && holdsLease(one.store.candidate, clockOf(one, simulation.now)),
  );
  const others = simulation.machines.filter((one) => one.isRunning && one !== leader);
  const withCopy = others.find((one) => one.disk !== undefined);
  const without = others.find((one) => one.disk === undefined);
  return new Set(
    [leader, withCopy, without].flatMap((one) => (one === undefined ? [] : [one.index])),
  );
};

/**
 * The deviations that are worth trying beside what happened. A fault of a machine commutes with
 * all that other machines do, so it is only placed right after an event of that machine that sent
 * something the protocols rest on: at any other moment it leads to a state that is reached anyway.
 */
export const candidateDeviations = (
  occurrences: readonly Occurrence[],
  after: number,
  until: number,
  reduceTo?: Simulation,
): readonly Deviation[] => {
  const chosen = reduceTo === undefined ? undefined : representatives(reduceTo);
  const placed = new Set<string>();
  return occurrences.flatMap((one) => {
    if (one.at <= after || one.at > until || !protocolFrames.has(one.frame ?? '')) return [];
    const place = `${one.machine} ${one.at}`;
    const again = placed.has(place);
    placed.add(place);
    const ofMachine =
      again || chosen?.has(one.machine) === false ? [] : machineDeviations(one.machine, one.at);
    return [...messageDeviations(one), ...ofMachine];
  });
};
