/**
 * The processes of a cluster on their machines: events go to the state machines that ship, and
 * their effects become events in virtual time. Which faults there are is the simulation's matter.
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

/** How long a write to a disk takes. */
const diskLatencyMs = 3;
const compileLatencyMs = 1;
/** How often a process looks at its timers. */
export const tickIntervalMs = 30;
/** How long a machine must have been healthy to count as reachable when a write is confirmed. */
const settledMs = 3000;
const httpOk = 200;

/** When the processes of a machine that starts tick first, so that no two tick at once. */
const firstTickMs = { registry: 3, store: 14, perMachine: 5 } as const;

/** All machines of one run with what lies between them. A clone goes its own way. */
export class Cluster {
  readonly layout: ClusterLayout;
  readonly timeline: Timeline;
  readonly links: Links;
  readonly operator: OperatorSession;
  #machines: Machine[];
  #monitor: InvariantMonitor;
  #steps = 0;
  /** Sees each event that a process acted on, and each message sent. */
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
        ? Array.from({ length: layout.founders + layout.spares }, (_, index) =>
            newMachine(layout, index),
          )
        : [...source.machines];
  }

  /** An independent copy, without the observer. */
  clone(): Cluster {
    return new Cluster(this.layout, this);
  }

  get machines(): readonly Machine[] {
    return this.#machines;
  }

  get monitor(): InvariantMonitor {
    return this.#monitor;
  }

  /** How many events processes acted on. */
  get steps(): number {
    return this.#steps;
  }

  /** Stops judging some invariants from here on. */
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

  /** Whether a machine runs and no fault has befallen it for a while. */
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

  /** Starts the processes of a machine that does not run. */
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
    this.timeline.schedule(1, { kind: 'read disk', machine: index, incarnation });
    for (const role of ['registry', 'store'] as const)
      this.timeline.schedule(firstTickMs[role] + index * firstTickMs.perMachine, {
        kind: 'tick',
        target: { machine: index, role },
        incarnation,
      });
  }

  /** Lets the processes of a machine act on an event, unless they have ended; later if they are paused. */
  runProcessEvent(event: ScheduledEvent): void {
    const machine = this.#targetOf(event);
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
      case 'gone':
        this.#deliver(machine, event.to.role, {
          kind: 'peerDisconnected',
          now,
          address: addressOf(event.of),
        });
        break;
      case 'read disk':
        this.#applyToStore(machine, { kind: 'diskRead', now, contents: readImage(machine.disk) });
        break;
      case 'store event':
        this.#applyToStore(machine, event.event(now));
        break;
      case 'call':
        this.operator.onRequestReceived(event);
        this.#applyToRegistry(machine, {
          kind: 'requestReceived',
          now,
          correlationId: event.ref,
          request: event.call.call,
        });
        break;
      default:
        break;
    }
    this.observer?.({ at: this.timeline.now, kind: 'event', machine: machine.index });
    this.#checkStores();
  }

  #targetOf(event: ScheduledEvent): Machine | undefined {
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
    this.#monitor.onVoter(
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
          kind: 'disk write',
          machine: index,
          incarnation,
          write: effect.write,
        });
        break;
      case 'compileConfiguration':
        this.timeline.schedule(compileLatencyMs, {
          kind: 'store event',
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

  /** A disk takes a write, refuses it as it is full, or keeps it waiting. */
  writeDisk(event: DiskWriteEvent): void {
    const machine = this.machineAt(event.machine);
    if (machine?.isRunning !== true || machine.incarnation !== event.incarnation) return;
    if (machine.diskFault === 'stalled') {
      this.timeline.hold(event);
      return;
    }
    const full = machine.diskFault === 'full';
    if (!full) this.storeWrite(machine, event.write);
    const { id } = event.write;
    this.timeline.schedule(0, {
      kind: 'store event',
      machine: event.machine,
      incarnation: event.incarnation,
      event: (now) =>
        full
          ? { kind: 'writeFailed', now, writeId: id, reason: 'no room', isDiskFull: true }
          : { kind: 'writeSynced', now, writeId: id },
    });
  }

  /** A disk holds a write from now on. */
  storeWrite(machine: Machine, write: DiskWrite): void {
    const node = nodeOf({ machine: machine.index, role: 'store' });
    this.#monitor.onDiskWrite(node, machine.disk, write, this.timeline.now);
    this.updateMachine(machine.index, { disk: applyWrite(machine.disk, write) });
  }

  /** A primary answers that a number is accepted: the copies are counted right then. */
  #checkConfirmation(machine: Machine, status: number, body: string): void {
    const reply = parseReply(body);
    const store = machine.store;
    if (status !== httpOk || reply.kind !== 'accepted' || store?.metadata === undefined) return;
    const metadata = this.machineAt(machine.index)?.store?.metadata ?? store.metadata;
    const images = new Map<NodeId, DiskImage | undefined>(
      this.#machines.map((one) => [nodeOf({ machine: one.index, role: 'store' }), one.disk]),
    );
    const healthyMachines = this.#machines.filter((one) =>
      this.isHealthyFor(one, settledMs),
    ).length;
    this.#monitor.onConfirming(
      reply.generation,
      nodeOf({ machine: machine.index, role: 'store' }),
      metadata.inSyncSet,
      images,
      Math.min(this.layout.tolerate + 1, healthyMachines),
      this.timeline.now,
    );
  }
}
