/**
 * A cluster in virtual time: runs what is due, lets the operator act, and brings about the deviations
 * of a schedule. What the processes themselves do is the cluster's matter.
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

/** How long the machines must have been healthy for a lost disk to be one loss at a time. */
const recoveryMs = 5000;
/** Founders start one after another. */
const startIntervalMs = 2;

/** The whole cluster in virtual time. A clone goes its own way from there. */
export class Simulation {
  readonly #cluster: Cluster;
  #isDiskLost = false;

  constructor(layout: ClusterLayout, cluster?: Cluster) {
    this.#cluster = cluster ?? new Cluster(layout);
    if (cluster !== undefined) return;
    const { timeline } = this.#cluster;
    for (let index = 0; index < layout.founders; index += 1)
      timeline.scheduleAt(index * startIntervalMs, { kind: 'start', machine: index });
    timeline.scheduleAt(operatorIntervalMs, { kind: 'operator' });
  }

  /** An independent copy, without the observer. */
  clone(): Simulation {
    const copy = new Simulation(this.layout, this.#cluster.clone());
    copy.#isDiskLost = this.#isDiskLost;
    return copy;
  }

  get layout(): ClusterLayout {
    return this.#cluster.layout;
  }

  /** True time, in milliseconds since the run began. */
  get now(): number {
    return this.#cluster.timeline.now;
  }

  /** How many events were acted on. */
  get steps(): number {
    return this.#cluster.steps;
  }

  get monitor(): InvariantMonitor {
    return this.#cluster.monitor;
  }

  get machines(): readonly Machine[] {
    return this.#cluster.machines;
  }

  /** Sees each event that a process acted on, and each message sent. */
  set observer(observer: ((occurrence: Occurrence) => void) | undefined) {
    this.#cluster.observer = observer;
  }

  /** Stops judging some invariants from here on. */
  ignore(ignored: ReadonlySet<Invariant>): void {
    this.#cluster.ignore(ignored);
  }

  /** Adds a deviation that is still to come. */
  deviate(deviation: Deviation): void {
    if (deviation.kind === 'message') this.#cluster.links.addMessageFault(deviation);
    else this.#cluster.timeline.scheduleAt(deviation.at, { kind: 'deviation', deviation });
  }

  /** Runs until a moment, or until an invariant does not hold. */
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
      case 'operator':
        this.#runOperator();
        return;
      case 'deviation':
        this.#runDeviation(event.deviation);
        return;
      case 'start':
        this.#cluster.startMachine(event.machine);
        return;
      case 'wake':
        this.#resume(event.machine);
        return;
      case 'disk well':
        this.#recoverDisk(event.machine);
        return;
      case 'disk write':
        this.#cluster.writeDisk(event);
        return;
      default:
        this.#cluster.runProcessEvent(event);
    }
  }

  #runOperator(): void {
    const { operator, timeline, layout, monitor } = this.#cluster;
    const requests = operator.takeTurn(layout.founders, monitor.highestConfirmed, this.now);
    for (const request of requests)
      timeline.schedule(networkLatencyMs, { kind: 'call', ...request });
    timeline.schedule(operatorIntervalMs, { kind: 'operator' });
  }

  #recoverDisk(index: number): void {
    this.#cluster.updateMachine(index, { diskFault: 'none', faultedUntil: this.now });
    this.#cluster.timeline.releaseHeld(
      (event) => event.kind === 'disk write' && event.machine === index,
    );
  }

  #resume(index: number): void {
    const { timeline } = this.#cluster;
    if (this.#cluster.machineAt(index)?.isPaused !== true) return;
    this.#cluster.updateMachine(index, { isPaused: false, faultedUntil: this.now });
    // A process that was stopped in its wait for sockets may read all of them before its timers.
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
        this.#cluster.timeline.schedule(deviation.forMs, {
          kind: 'wake',
          machine: deviation.machine,
        });
        break;
      }
      case 'cut':
        this.#cluster.links.addCut(deviation, this.now, recoveryMs);
        break;
      case 'disk':
        this.#cluster.updateMachine(deviation.machine, { diskFault: deviation.trouble });
        this.#cluster.timeline.schedule(deviation.forMs, {
          kind: 'disk well',
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

  /** Whether losing this disk now is a single loss: no other machine down lately, at most one unhealthy. */
  #isSingleLoss(index: number): boolean {
    const others = this.machines.filter((one) => one.index !== index && one.incarnation > 0);
    const down = others.some((one) => !one.isRunning || this.now - one.crashedUntil < recoveryMs);
    const troubled = others.filter((one) => !this.#cluster.isHealthyFor(one, recoveryMs)).length;
    return !this.#isDiskLost && !down && troubled <= 1;
  }

  #crash(deviation: Crash): void {
    const machine = this.#cluster.machineAt(deviation.machine);
    if (machine?.isRunning !== true) return;
    const lost = deviation.disk === 'lost' && this.#isSingleLoss(machine.index);
    const pending = this.#takePendingWrite(machine);
    if (deviation.disk === 'kept with pending write' && pending !== undefined)
      this.#cluster.storeWrite(machine, pending);
    const current = this.#cluster.machineAt(deviation.machine) ?? machine;
    this.#cluster.updateMachine(machine.index, {
      ...stopMachine(current),
      disk: lost ? undefined : current.disk,
    });
    this.#isDiskLost ||= lost;
    this.#cluster.timeline.dropHeld((event) => machineIndexOf(event) === machine.index);
    for (const other of this.machines)
      if (other.index !== machine.index && other.isRunning) this.#announceEnd(machine, other);
    if (Number.isFinite(deviation.forMs))
      this.#cluster.timeline.schedule(deviation.forMs, { kind: 'start', machine: machine.index });
  }

  /** The first write that the disk had in hand, unless the disk takes none. */
  #takePendingWrite(machine: Machine): DiskWrite | undefined {
    const first = this.#cluster.timeline.takeFirstWrite(machine.index, machine.incarnation);
    return machine.diskFault === 'none' ? first : undefined;
  }

  /** The other machine's processes see that their connections to this one ended. */
  #announceEnd(machine: Machine, other: Machine): void {
    if (this.#cluster.links.isCut(machine.index, other.index, this.now)) return;
    for (const of of ['registry', 'store'] as const)
      for (const role of ['registry', 'store'] as const)
        this.#cluster.timeline.schedule(networkLatencyMs, {
          kind: 'gone',
          of: { machine: machine.index, role: of },
          to: { machine: other.index, role },
        });
  }
}
