/** Candidate deviations beside the events of a run, reduced so that equivalent schedules are tried once. */

import { holdsLease } from '@switchwheel/election';
import { clockOf } from '../cluster/machine.js';
import type { Occurrence } from '../cluster/occurrence.js';
import type { Simulation } from '../cluster/simulation.js';
import type { Deviation } from '../schedule/deviation.js';

/** Frame kinds of the election, replication and membership protocols beside which deviations are placed. */
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
/** Longer than a lease. */
const longDelayMs = 1400;
const restartMs = 5;
/** Places a machine fault after the event that sent the message. */
const afterEventMs = 0.5;

const messageDeviations = (occurrence: Occurrence): readonly Deviation[] => {
  const { at, frame, from, to } = occurrence;
  if (frame === undefined || from === undefined || to === undefined) return [];
  const base = { kind: 'message', at, frame, from, to } as const;
  return [
    { ...base, action: { kind: 'drop' } },
    { ...base, action: { kind: 'delay', byMs: shortDelayMs } },
    { ...base, action: { kind: 'delay', byMs: longDelayMs } },
    { ...base, action: { kind: 'repeat', afterMs: longDelayMs } },
  ];
};

const machineDeviations = (machine: number, sentAt: number): readonly Deviation[] => {
  const at = sentAt + afterEventMs;
  return [
    { kind: 'crash', at, machine, durationMs: restartMs, disk: 'kept' },
    { kind: 'crash', at, machine, durationMs: restartMs, disk: 'lost' },
    { kind: 'crash', at, machine, durationMs: longDelayMs, disk: 'kept with pending write' },
    { kind: 'pause', at, machine, durationMs: shortDelayMs * 2 },
    { kind: 'pause', at, machine, durationMs: longDelayMs },
    {
      kind: 'cut',
      at,
      machine,
      peer: 'all',
      direction: 'both',
      messages: 'lost',
      durationMs: longDelayMs,
    },
    {
      kind: 'cut',
      at,
      machine,
      peer: 'all',
      direction: 'both',
      messages: 'held',
      durationMs: longDelayMs,
    },
    {
      kind: 'cut',
      at,
      machine,
      peer: 'all',
      direction: 'inbound',
      messages: 'lost',
      durationMs: longDelayMs,
    },
    { kind: 'disk', at, machine, fault: 'stalled', durationMs: longDelayMs },
    { kind: 'disk', at, machine, fault: 'full', durationMs: longDelayMs },
  ];
};

/**
 * Returns one machine for each set of equivalent ones: the primary, the first other machine with a
 * copy and the first without one.
 */
const representatives = (simulation: Simulation): ReadonlySet<number> => {
  const primary = simulation.machines.find(
    (machine) =>
      machine.store !== undefined &&
      holdsLease(machine.store.candidate, clockOf(machine, simulation.now)),
  );
  const others = simulation.machines.filter((machine) => machine.isRunning && machine !== primary);
  const withCopy = others.find((machine) => machine.disk !== undefined);
  const withoutCopy = others.find((machine) => machine.disk === undefined);
  return new Set(
    [primary, withCopy, withoutCopy].flatMap((node) => (node === undefined ? [] : [node.index])),
  );
};

/**
 * Returns the deviations to try beside occurrences after `after` and up to `until`. A fault of a
 * machine commutes with the events of other machines, so it is only placed right after an event
 * of that machine that sent a protocol message; at other times it leads to states reached anyway.
 * With `reduceTo`, faults are placed only on one of several equivalent machines.
 */
export const candidateDeviations = (
  occurrences: readonly Occurrence[],
  after: number,
  until: number,
  reduceTo?: Simulation,
): readonly Deviation[] => {
  const chosenMachines = reduceTo === undefined ? undefined : representatives(reduceTo);
  const placements = new Set<string>();
  return occurrences.flatMap((occurrence) => {
    if (
      occurrence.at <= after ||
      occurrence.at > until ||
      !protocolFrames.has(occurrence.frame ?? '')
    )
      return [];
    const placement = `${occurrence.machine} ${occurrence.at}`;
    const isRepeated = placements.has(placement);
    placements.add(placement);
    const ofMachine =
      isRepeated || chosenMachines?.has(occurrence.machine) === false
        ? []
        : machineDeviations(occurrence.machine, occurrence.at);
    return [...messageDeviations(occurrence), ...ofMachine];
  });
};
