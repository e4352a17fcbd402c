/**
 * Processes of a simulated cluster: runs the production state machines on events, and schedules
 * their effects as events in simulated time. The simulation injects the faults.
 */

import type { NodeId } from '@switchwheel/types';
import type { ProcessEffect, ProcessEvent } from '@switchwheel/transport';
import {
  type DiskWrite,
  type StoreEffect,
  type StoreEvent,
  storeTransition,
} from '@switchwheel/replicated-store';
import {
  type RegistryEffect,
  type RegistryEvent,
  registryTransition,
} from '@switchwheel/membership';
import type { Endpoint, Role } from '../schedule/deviation.js';
import type { ClusterLayout } from '../schedule/scenario.js';
import { type DiskImage, applyWrite, readImage } from './disk.js';
import { addressOf, endpointAt, nodeOf } from './endpoints.js';
import { type Invariant, InvariantMonitor } from './invariants.js';
import { Links } from './links.js';
import { type Machine, clockOf, newMachine, peerOf, startMachine } from './machine.js';
import type { Occurrence } from './occurrence.js';
import { OperatorSession } from './operator-session.js';
import { parseReply } from './reply.js';
import { type DiskWriteEvent, type ScheduledEvent, machineIndexOf } from './scheduled-event.js';
import { Timeline } from './timeline.js';

const diskLatencyMs = 3;
const compileLatencyMs = 1;
/** Interval between the ticks of a process. */
export const tickIntervalMs = 30;
/** Time without faults after which a machine is expected to hold a copy of a confirmed write. */
const reachableAfterMs = 3000;
const httpOk = 200;

/** Delays of the first tick after a start; staggered so that no two processes tick at the same time. */
const firstTickMs = { registry: 3, store: 14, perMachine: 5 } as const;

/** Machines of one run with their links, their operator and the events between them. */
export class Cluster {
  readonly layout: ClusterLayout;
  readonly timeline: Timeline;
  readonly links: Links;
  readonly operator: OperatorSession;
  #machines: Machine[];
  #monitor: InvariantMonitor;
  #steps = 0;
  /** Callback for each event handled by a process and each message sent. */
  observer: ((occurrence: Occurrence) => void) | undefined;

  constructor(layout: ClusterLayout, source?: Cluster) {
    this.layout = layout;
    this.timeline = source?.timeline.clone() ?? new Timeline();
    this.links = source?.links.clone() ?? new Links();
    this.operator = source?.operator.clone() ?? new OperatorSession();
    this.#monitor = source?.monitor.clone() ?? new InvariantMonitor();
    this.#steps = source?.steps ?? 0;
    this.#machines =
      source === undefined
        ? Array.from(
            { length: layout.initialMachineCount + layout.joiningMachineCount },
            (_, index) => newMachine(layout, index),
          )
        : [...source.machines];
  }

  /** Returns an independent copy, without the observer. */
  clone(): Cluster {
    return new Cluster(this.layout, this);
  }

  get machines(): readonly Machine[] {
    return this.#machines;
  }

  get monitor(): InvariantMonitor {
    return this.#monitor;
  }

  /** Number of events handled by processes. */
  get steps(): number {
    return this.#steps;
  }

  /** Disables the check of some invariants from now on. */
  ignore(ignored: ReadonlySet<Invariant>): void {
    this.#monitor = this.#monitor.clone(ignored);
  }

  machineAt(index: number): Machine | undefined {
    return this.#machines[index];
  }

  updateMachine(index: number, change: Partial<Machine>): void {
    const machine = this.#machines[index];
    if (machine !== undefined) this.#machines[index] = { ...machine, ...change };
  }

  /** Whether a machine is running and has had no fault for a duration. */
  isHealthyFor(machine: Machine, durationMs: number): boolean {
    const { now } = this.timeline;
    return (
      machine.isRunning &&
      !machine.isPaused &&
      machine.diskFault === 'none' &&
      !this.links.wasCutWithin(machine.index, durationMs, now) &&
      now - machine.faultedUntil >= durationMs
    );
  }

  /** Starts the processes of a machine; does nothing if it is running. */
  startMachine(index: number): void {
    const machine = this.machineAt(index);
    if (machine === undefined || machine.isRunning) return;
    const next = startMachine(machine, this.layout, this.timeline.now);
    this.#machines[index] = {
      ...next,
      faultedUntil: this.timeline.now,
      crashedUntil: next.incarnation === 1 ? -Infinity : this.timeline.now,
    };
    const { incarnation } = next;
    this.timeline.schedule(1, { kind: 'readDisk', machine: index, incarnation });
    for (const role of ['registry', 'store'] as const)
      this.timeline.schedule(firstTickMs[role] + index * firstTickMs.perMachine, {
        kind: 'tick',
        target: { machine: index, role },
        incarnation,
      });
  }

  /** Dispatches an event to the processes of a machine: drops it if they have stopped, holds it if they are paused. */
  runProcessEvent(event: ScheduledEvent): void {
    const machine = this.#targetMachine(event);
    if (machine === undefined || !machine.isRunning) return;
    if ('incarnation' in event && event.incarnation !== machine.incarnation) return;
    if (machine.isPaused) {
      this.timeline.hold(event);
      return;
    }
    this.#steps += 1;
    const now = clockOf(machine, this.timeline.now);
    switch (event.kind) {
      case 'tick':
        this.#deliver(machine, event.target.role, { kind: 'tick', now });
        this.timeline.schedule(tickIntervalMs, event);
        break;
      case 'message':
        this.#deliver(machine, event.to.role, {
          kind: 'frameReceived',
          now,
          from: event.from,
          frame: event.frame,
        });
        break;
      case 'peerDisconnected':
        this.#deliver(machine, event.to.role, {
          kind: 'peerDisconnected',
          now,
          address: addressOf(event.peer),
        });
        break;
      case 'readDisk':
        this.#applyToStore(machine, { kind: 'diskRead', now, contents: readImage(machine.disk) });
        break;
      case 'storeEvent':
        this.#applyToStore(machine, event.event(now));
        break;
      case 'operatorRequest':
        this.operator.onRequestReceived(event);
        this.#applyToRegistry(machine, {
          kind: 'requestReceived',
          now,
          correlationId: event.correlationId,
          request: event.operatorRequest.request,
        });
        break;
      default:
        break;
    }
    this.observer?.({ at: this.timeline.now, kind: 'event', machine: machine.index });
    this.#checkStores();
  }

  #targetMachine(event: ScheduledEvent): Machine | undefined {
    const index = machineIndexOf(event);
    return index === undefined ? undefined : this.machineAt(index);
  }

  #checkStores(): void {
    const stores = this.#machines.flatMap((machine) =>
      machine.store === undefined
        ? []
        : [
            {
              store: machine.store,
              clock: clockOf(machine, this.timeline.now),
              node: nodeOf({ machine: machine.index, role: 'store' }),
            },
          ],
    );
    this.#monitor.onStores(stores, this.timeline.now);
  }

  #deliver(machine: Machine, role: Role, event: ProcessEvent): void {
    if (role === 'store') this.#applyToStore(machine, event);
    else this.#applyToRegistry(machine, event);
  }

  #applyToStore(machine: Machine, event: StoreEvent): void {
    if (machine.store === undefined) return;
    const result = storeTransition(machine.store, event);
    this.updateMachine(machine.index, { store: result.state });
    for (const effect of result.effects) this.#runStoreEffect(machine, effect);
  }

  #applyToRegistry(machine: Machine, event: RegistryEvent): void {
    if (machine.registry === undefined) return;
    const result = registryTransition(machine.registry, event);
    this.updateMachine(machine.index, { registry: result.state });
    this.#monitor.onVoterUpdate(
      nodeOf({ machine: machine.index, role: 'registry' }),
      result.state.voter.electorate,
    );
    for (const effect of result.effects) this.#runRegistryEffect(machine, effect);
  }

  #runStoreEffect(machine: Machine, effect: StoreEffect): void {
    const { index, incarnation } = machine;
    switch (effect.kind) {
      case 'writeToDisk':
        this.timeline.schedule(diskLatencyMs, {
          kind: 'diskWrite',
          machine: index,
          incarnation,
          write: effect.write,
        });
        break;
      case 'compileConfiguration':
        this.timeline.schedule(compileLatencyMs, {
          kind: 'storeEvent',
          machine: index,
          incarnation,
          event: (now) => ({ kind: 'configurationCompiled', now, hash: effect.hash, issues: [] }),
        });
        break;
      case 'completeStop':
        break;
      default:
        this.#runWireEffect(machine, 'store', effect);
    }
  }

  #runRegistryEffect(machine: Machine, effect: RegistryEffect): void {
    if (effect.kind === 'reply') this.#onReply(effect);
    else this.#runWireEffect(machine, 'registry', effect);
  }

  #runWireEffect(machine: Machine, role: Role, effect: ProcessEffect): void {
    if (effect.kind === 'log') return;
    const to = endpointAt(effect.to);
    if (to === undefined) return;
    const sender: Endpoint = { machine: machine.index, role };
    const { frame } = effect;
    if (frame.kind === 'called') this.#checkConfirmation(machine, frame.status, frame.body);
    this.observer?.({
      at: this.timeline.now,
      kind: 'message',
      machine: machine.index,
      frame: frame.kind,
      from: sender,
      to,
    });
    const delays = this.links.deliveryDelays(frame.kind, sender, to, this.timeline.now);
    const from = peerOf(machine, role);
    for (const delayMs of delays)
      this.timeline.schedule(delayMs, { kind: 'message', from, sender, to, frame });
  }

  #onReply(reply: Extract<RegistryEffect, { kind: 'reply' }>): void {
    const { correlationId, status, body } = reply;
    this.operator.onReply(correlationId, status, body, this.#monitor, this.timeline.now);
  }

  /** Completes a disk write, fails it if the disk is full, or holds it if the disk is stalled. */
  writeDisk(event: DiskWriteEvent): void {
    const machine = this.machineAt(event.machine);
    if (machine?.isRunning !== true || machine.incarnation !== event.incarnation) return;
    if (machine.diskFault === 'stalled') {
      this.timeline.hold(event);
      return;
    }
    const isDiskFull = machine.diskFault === 'full';
    if (!isDiskFull) this.storeWrite(machine, event.write);
    const { id } = event.write;
    this.timeline.schedule(0, {
      kind: 'storeEvent',
      machine: event.machine,
      incarnation: event.incarnation,
      event: (now) =>
        isDiskFull
          ? { kind: 'writeFailed', now, writeId: id, reason: 'disk full', isDiskFull: true }
          : { kind: 'writeSynced', now, writeId: id },
    });
  }

  /** Makes a write durable on the disk of a machine. */
  storeWrite(machine: Machine, write: DiskWrite): void {
    const node = nodeOf({ machine: machine.index, role: 'store' });
    this.#monitor.onDiskWrite(node, machine.disk, write, this.timeline.now);
    this.updateMachine(machine.index, { disk: applyWrite(machine.disk, write) });
  }

  /** Counts the copies of a generation when the primary confirms it. */
  #checkConfirmation(machine: Machine, status: number, body: string): void {
    const reply = parseReply(body);
    const store = machine.store;
    if (status !== httpOk || reply.kind !== 'accepted' || store?.metadata === undefined) return;
    const metadata = this.machineAt(machine.index)?.store?.metadata ?? store.metadata;
    const images = new Map<NodeId, DiskImage | undefined>(
      this.#machines.map((other) => [nodeOf({ machine: other.index, role: 'store' }), other.disk]),
    );
    const healthyMachines = this.#machines.filter((other) =>
      this.isHealthyFor(other, reachableAfterMs),
    ).length;
    this.#monitor.onConfirmation(
      reply.generation,
      nodeOf({ machine: machine.index, role: 'store' }),
      metadata.inSyncSet,
      images,
      Math.min(this.layout.tolerate + 1, healthyMachines),
      this.timeline.now,
    );
  }
}
