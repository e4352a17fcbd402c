/**
 * Simulation of a cluster: runs due events, the operator and the deviations of a schedule. The
 * cluster runs the processes themselves.
 */

import type { DiskWrite } from '@switchwheel/replicated-store';
import type { Crash, Deviation } from '../schedule/deviation.js';
import type { ClusterLayout } from '../schedule/scenario.js';
import { Cluster, tickIntervalMs } from './cluster.js';
import type { Invariant, InvariantMonitor } from './invariants.js';
import { networkLatencyMs } from './links.js';
import { type Machine, stopMachine } from './machine.js';
import type { Occurrence } from './occurrence.js';
import { operatorIntervalMs } from './operator.js';
import { type ScheduledEvent, machineIndexOf } from './scheduled-event.js';

/** Time without faults after which a machine counts as recovered; disks are lost only one at a time. */
const recoveryMs = 5000;
/** Interval between the starts of the initial machines. */
const startIntervalMs = 2;

/** Cluster in simulated time. */
export class Simulation {
  readonly #cluster: Cluster;
  #isDiskLost = false;

  constructor(layout: ClusterLayout, cluster?: Cluster) {
    this.#cluster = cluster ?? new Cluster(layout);
    if (cluster !== undefined) return;
    const { timeline } = this.#cluster;
    for (let index = 0; index < layout.initialMachineCount; index += 1)
      timeline.scheduleAt(index * startIntervalMs, { kind: 'startMachine', machine: index });
    timeline.scheduleAt(operatorIntervalMs, { kind: 'operatorTurn' });
  }

  /** Returns an independent copy, without the observer. */
  clone(): Simulation {
    const copy = new Simulation(this.layout, this.#cluster.clone());
    copy.#isDiskLost = this.#isDiskLost;
    return copy;
  }

  get layout(): ClusterLayout {
    return this.#cluster.layout;
  }

  /** Simulated time in milliseconds since the start of the run. */
  get now(): number {
    return this.#cluster.timeline.now;
  }

  /** Number of events handled by processes. */
  get steps(): number {
    return this.#cluster.steps;
  }

  get monitor(): InvariantMonitor {
    return this.#cluster.monitor;
  }

  get machines(): readonly Machine[] {
    return this.#cluster.machines;
  }

  /** Sets the callback for each event handled by a process and each message sent. */
  set observer(observer: ((occurrence: Occurrence) => void) | undefined) {
    this.#cluster.observer = observer;
  }

  /** Disables the check of some invariants from now on. */
  ignore(ignored: ReadonlySet<Invariant>): void {
    this.#cluster.ignore(ignored);
  }

  /** Schedules a deviation. */
  deviate(deviation: Deviation): void {
    if (deviation.kind === 'message') this.#cluster.links.addMessageFault(deviation);
    else this.#cluster.timeline.scheduleAt(deviation.at, { kind: 'deviation', deviation });
  }

  /** Runs until a time, or until an invariant is violated. */
  runUntil(end: number): void {
    const { timeline } = this.#cluster;
    while (this.monitor.violation === undefined) {
      const event = timeline.takeDue(end);
      if (event === undefined) break;
      this.#runEvent(event);
    }
    timeline.advanceTo(end);
  }

  #runEvent(event: ScheduledEvent): void {
    switch (event.kind) {
      case 'operatorTurn':
        this.#runOperator();
        return;
      case 'deviation':
        this.#runDeviation(event.deviation);
        return;
      case 'startMachine':
        this.#cluster.startMachine(event.machine);
        return;
      case 'resumeMachine':
        this.#resume(event.machine);
        return;
      case 'recoverDisk':
        this.#recoverDisk(event.machine);
        return;
      case 'diskWrite':
        this.#cluster.writeDisk(event);
        return;
      default:
        this.#cluster.runProcessEvent(event);
    }
  }

  #runOperator(): void {
    const { operator, timeline, layout, monitor } = this.#cluster;
    const requests = operator.takeTurn(
      layout.initialMachineCount,
      monitor.highestConfirmed,
      this.now,
    );
    for (const request of requests)
      timeline.schedule(networkLatencyMs, { kind: 'operatorRequest', ...request });
    timeline.schedule(operatorIntervalMs, { kind: 'operatorTurn' });
  }

  #recoverDisk(index: number): void {
    this.#cluster.updateMachine(index, { diskFault: 'none', faultedUntil: this.now });
    this.#cluster.timeline.releaseHeld(
      (event) => event.kind === 'diskWrite' && event.machine === index,
    );
  }

  #resume(index: number): void {
    const { timeline } = this.#cluster;
    if (this.#cluster.machineAt(index)?.isPaused !== true) return;
    this.#cluster.updateMachine(index, { isPaused: false, faultedUntil: this.now });
    // A resumed process may read its sockets before it runs its timers.
    timeline.releaseHeld((event) => machineIndexOf(event) === index && event.kind !== 'tick');
    timeline.releaseHeld((event) => machineIndexOf(event) === index, tickIntervalMs);
  }

  #runDeviation(deviation: Deviation): void {
    switch (deviation.kind) {
      case 'crash':
        this.#crash(deviation);
        break;
      case 'pause': {
        const machine = this.#cluster.machineAt(deviation.machine);
        if (machine?.isRunning !== true || machine.isPaused) break;
        this.#cluster.updateMachine(deviation.machine, { isPaused: true });
        this.#cluster.timeline.schedule(deviation.durationMs, {
          kind: 'resumeMachine',
          machine: deviation.machine,
        });
        break;
      }
      case 'cut':
        this.#cluster.links.addCut(deviation, this.now, recoveryMs);
        break;
      case 'disk':
        this.#cluster.updateMachine(deviation.machine, { diskFault: deviation.fault });
        this.#cluster.timeline.schedule(deviation.durationMs, {
          kind: 'recoverDisk',
          machine: deviation.machine,
        });
        break;
      case 'join':
        this.#cluster.startMachine(deviation.machine);
        break;
      case 'message':
        break;
    }
  }

  /** Whether no disk was lost before, no other machine was down recently and at most one is unhealthy. */
  #isSingleLoss(index: number): boolean {
    const others = this.machines.filter((other) => other.index !== index && other.incarnation > 0);
    const isAnyDown = others.some(
      (other) => !other.isRunning || this.now - other.crashedUntil < recoveryMs,
    );
    const unhealthyCount = others.filter(
      (other) => !this.#cluster.isHealthyFor(other, recoveryMs),
    ).length;
    return !this.#isDiskLost && !isAnyDown && unhealthyCount <= 1;
  }

  #crash(deviation: Crash): void {
    const machine = this.#cluster.machineAt(deviation.machine);
    if (machine?.isRunning !== true) return;
    const isDiskLost = deviation.disk === 'lost' && this.#isSingleLoss(machine.index);
    const pending = this.#takePendingWrite(machine);
    if (deviation.disk === 'kept with pending write' && pending !== undefined)
      this.#cluster.storeWrite(machine, pending);
    const current = this.#cluster.machineAt(deviation.machine) ?? machine;
    this.#cluster.updateMachine(machine.index, {
      ...stopMachine(current),
      disk: isDiskLost ? undefined : current.disk,
    });
    this.#isDiskLost ||= isDiskLost;
    this.#cluster.timeline.dropHeld((event) => machineIndexOf(event) === machine.index);
    for (const other of this.machines)
      if (other.index !== machine.index && other.isRunning) this.#disconnectPeers(machine, other);
    if (Number.isFinite(deviation.durationMs))
      this.#cluster.timeline.schedule(deviation.durationMs, {
        kind: 'startMachine',
        machine: machine.index,
      });
  }

  /** Removes the pending writes of a disk and returns the first; undefined if the disk has a fault. */
  #takePendingWrite(machine: Machine): DiskWrite | undefined {
    const write = this.#cluster.timeline.takeFirstWrite(machine.index, machine.incarnation);
    return machine.diskFault === 'none' ? write : undefined;
  }

  /** Notifies the processes of another machine that their connections to a machine closed. */
  #disconnectPeers(machine: Machine, other: Machine): void {
    if (this.#cluster.links.isCut(machine.index, other.index, this.now)) return;
    for (const peerRole of ['registry', 'store'] as const)
      for (const role of ['registry', 'store'] as const)
        this.#cluster.timeline.schedule(networkLatencyMs, {
          kind: 'peerDisconnected',
          peer: { machine: machine.index, role: peerRole },
          to: { machine: other.index, role },
        });
  }
}
