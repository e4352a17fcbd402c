import { type NodeId, toTimestamp } from '@switchwheel/types';
import type { Frame, Peer, ProcessEffect, ProcessEvent } from '@switchwheel/transport';
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
import type { Crash, Cut, Deviation, Endpoint, MessageFault, Role } from '../schedule/deviation.js';
import type { ClusterLayout } from '../schedule/scenario.js';
import { EventQueue } from './event-queue.js';
import { type DiskImage, applyWrite, readImage } from './disk.js';
import { type Invariant, InvariantMonitor } from './invariants.js';
import { type ActiveCut, cutBetween, faultApplies } from './links.js';
import { type Machine, clockOf, newMachine, peerOf, startMachine, stopMachine } from './machine.js';
import { addressOf, endpointAt, nodeOf } from './endpoints.js';
import {
  type Operator,
  type OperatorRequest,
  closeWrite,
  newOperator,
  operatorIntervalMs,
  operatorTurn,
} from './operator.js';

/** How long a message takes within a machine and between machines, and a write to a disk. */
const localLatencyMs = 1;
const networkLatencyMs = 2;
const diskLatencyMs = 3;
const compileLatencyMs = 1;
const tickIntervalMs = 30;
/** How long the machines must have been well for a lost disk to be one loss at a time. */
const recoveryMs = 5000;
/** How long a machine must have been well to count as reachable when a write is confirmed. */
const settledMs = 3000;

type ScheduledEvent =
  | { readonly kind: 'tick'; readonly target: Endpoint; readonly incarnation: number }
  | {
      readonly kind: 'message';
      readonly from: Peer;
      readonly sender: Endpoint;
      readonly to: Endpoint;
      readonly frame: Frame;
    }
  | { readonly kind: 'gone'; readonly of: Endpoint; readonly to: Endpoint }
  | { readonly kind: 'read disk'; readonly machine: number; readonly incarnation: number }
  | {
      readonly kind: 'disk write';
      readonly machine: number;
      readonly incarnation: number;
      readonly write: DiskWrite;
    }
  | {
      readonly kind: 'store event';
      readonly machine: number;
      readonly incarnation: number;
      readonly event: (now: ReturnType<typeof toTimestamp>) => StoreEvent;
    }
  | {
      readonly kind: 'call';
      readonly call: OperatorRequest;
      readonly floor: number;
      readonly ref: number;
    }
  | { readonly kind: 'operator' }
  | { readonly kind: 'start'; readonly machine: number }
  | { readonly kind: 'wake'; readonly machine: number }
  | { readonly kind: 'disk well'; readonly machine: number }
  | { readonly kind: 'deviation'; readonly deviation: Deviation };

/** What happened, for those who choose where to deviate from it. */
export interface Occurrence {
  readonly at: number;
  readonly kind: 'message' | 'event';
  readonly machine: number;
  readonly frame?: string;
  readonly from?: Endpoint;
  readonly to?: Endpoint;
}

/** The whole cluster in virtual time. A clone goes its own way from there. */
export class Simulation {
  readonly layout: ClusterLayout;
  #now = 0;
  #steps = 0;
  #lastRequest = 0;
  #eventQueue = new EventQueue<ScheduledEvent>();
  #machines: Machine[];
  #heldEvents: ScheduledEvent[] = [];
  #cuts: ActiveCut[] = [];
  #messageFaults: MessageFault[] = [];
  #operator: Operator = newOperator;
  #pendingReplies = new Map<number, { readonly call: OperatorRequest; readonly floor: number }>();
  #isDiskLost = false;
  #monitor = new InvariantMonitor();
  /** Told of each event that a process acted on, and of each message sent. */
  observer: ((occurrence: Occurrence) => void) | undefined;

  constructor(layout: ClusterLayout, machines?: readonly Machine[]) {
    this.layout = layout;
    const size = layout.founders + layout.spares;
    this.#machines = machines
      ? [...machines]
      : Array.from({ length: size }, (_, index) => newMachine(layout, index));
    if (machines !== undefined) return;
    for (let index = 0; index < layout.founders; index += 1)
      this.#eventQueue.add(index * 2, { kind: 'start', machine: index });
    this.#eventQueue.add(operatorIntervalMs, { kind: 'operator' });
  }

  clone(): Simulation {
    const copy = new Simulation(this.layout, this.#machines);
    copy.#now = this.#now;
    copy.#steps = this.#steps;
    copy.#lastRequest = this.#lastRequest;
    copy.#eventQueue = this.#eventQueue.clone();
    copy.#heldEvents = [...this.#heldEvents];
    copy.#cuts = [...this.#cuts];
    copy.#messageFaults = [...this.#messageFaults];
    copy.#operator = this.#operator;
    copy.#pendingReplies = new Map(this.#pendingReplies);
    copy.#isDiskLost = this.#isDiskLost;
    copy.#monitor = this.#monitor.clone();
    return copy;
  }

  get now(): number {
    return this.#now;
  }

  /** How many events were acted on. */
  get steps(): number {
    return this.#steps;
  }

  get monitor(): InvariantMonitor {
    return this.#monitor;
  }

  /** Stops judging some invariants from here on. */
  ignore(ignored: ReadonlySet<Invariant>): void {
    this.#monitor = this.#monitor.clone(ignored);
  }

  get machines(): readonly Machine[] {
    return this.#machines;
  }

  /** Adds a deviation that is still to come. */
  deviate(deviation: Deviation): void {
    if (deviation.kind === 'message') this.#messageFaults.push(deviation);
    else this.#eventQueue.add(deviation.at, { kind: 'deviation', deviation });
  }

  /** Runs until a moment, or until an invariant does not hold. */
  runUntil(end: number): void {
    while (this.#monitor.violation === undefined) {
      const next = this.#eventQueue.nextAt;
      if (next === undefined || next > end) break;
      const entry = this.#eventQueue.takeNext();
      if (entry === undefined) break;
      this.#now = Math.max(this.#now, entry.at);
      this.#runEvent(entry.item);
    }
    this.#now = Math.max(this.#now, end);
  }

  #machine(index: number): Machine | undefined {
    return this.#machines[index];
  }

  #updateMachine(index: number, change: Partial<Machine>): void {
    const machine = this.#machines[index];
    if (machine !== undefined) this.#machines[index] = { ...machine, ...change };
  }

  #schedule(span: number, item: ScheduledEvent): void {
    this.#eventQueue.add(this.#now + span, item);
  }

  #runEvent(item: ScheduledEvent): void {
    switch (item.kind) {
      case 'operator':
        this.#runOperator();
        return;
      case 'deviation':
        this.#runDeviation(item.deviation);
        return;
      case 'start':
        this.#start(item.machine);
        return;
      case 'wake':
        this.#wake(item.machine);
        return;
      case 'disk well':
        this.#updateMachine(item.machine, { diskFault: 'none', faultedUntil: this.#now });
        this.#releaseHeld((one) => one.kind === 'disk write' && one.machine === item.machine);
        return;
      case 'disk write':
        this.#writeDisk(item);
        return;
      default:
        this.#runProcessEvent(item);
    }
  }

  /** Puts back what was held, in its order. */
  #releaseHeld(matches: (item: ScheduledEvent) => boolean, delay = 0): void {
    const due = this.#heldEvents.filter(matches);
    this.#heldEvents = this.#heldEvents.filter((one) => !matches(one));
    for (const one of due) this.#schedule(delay, one);
  }

  #machineIndexOf(item: ScheduledEvent): number {
    switch (item.kind) {
      case 'tick':
        return item.target.machine;
      case 'message':
      case 'gone':
        return item.to.machine;
      case 'call':
        return item.call.machine;
      case 'read disk':
      case 'store event':
        return item.machine;
      default:
        return -1;
    }
  }

  #runProcessEvent(item: ScheduledEvent): void {
    const machine = this.#machine(this.#machineIndexOf(item));
    if (machine === undefined || !machine.isRunning) return;
    if ('incarnation' in item && item.incarnation !== machine.incarnation) return;
    if (machine.isPaused) {
      this.#heldEvents.push(item);
      return;
    }
    this.#steps += 1;
    const now = clockOf(machine, this.#now);
    switch (item.kind) {
      case 'tick':
        this.#deliver(machine, item.target.role, { kind: 'tick', now });
        this.#schedule(tickIntervalMs, item);
        break;
      case 'message':
        this.#deliver(machine, item.to.role, {
          kind: 'frameReceived',
          now,
          from: item.from,
          frame: item.frame,
        });
        break;
      case 'gone':
        this.#deliver(machine, item.to.role, {
          kind: 'peerDisconnected',
          now,
          address: addressOf(item.of),
        });
        break;
      case 'read disk':
        this.#stepStore(machine, { kind: 'diskRead', now, contents: readImage(machine.disk) });
        break;
      case 'store event':
        this.#stepStore(machine, item.event(now));
        break;
      case 'call':
        this.#pendingReplies.set(item.ref, { call: item.call, floor: item.floor });
        this.#stepRegistry(machine, {
          kind: 'requestReceived',
          now,
          correlationId: item.ref,
          request: item.call.call,
        });
        break;
      default:
        break;
    }
    this.observer?.({ at: this.#now, kind: 'event', machine: machine.index });
    this.#checkStores();
  }

  #checkStores(): void {
    const stores = this.#machines.flatMap((machine) =>
      machine.store === undefined
        ? []
        : [
            {
              store: machine.store,
              clock: clockOf(machine, this.#now),
              node: nodeOf({ machine: machine.index, role: 'store' }),
            },
          ],
    );
    this.#monitor.onStores(stores, this.#now);
  }

  #deliver(machine: Machine, role: Role, event: ProcessEvent): void {
    if (role === 'store') this.#stepStore(machine, event);
    else this.#stepRegistry(machine, event);
  }

  #stepStore(machine: Machine, event: StoreEvent): void {
    if (machine.store === undefined) return;
    const result = storeTransition(machine.store, event);
    this.#updateMachine(machine.index, { store: result.state });
    for (const effect of result.effects) this.#runStoreEffect(machine, effect);
  }

  #stepRegistry(machine: Machine, event: RegistryEvent): void {
    if (machine.registry === undefined) return;
    const result = registryTransition(machine.registry, event);
    this.#updateMachine(machine.index, { registry: result.state });
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
        this.#schedule(diskLatencyMs, {
          kind: 'disk write',
          machine: index,
          incarnation,
          write: effect.write,
        });
        break;
      case 'compileConfiguration':
        this.#schedule(compileLatencyMs, {
          kind: 'store event',
          machine: index,
          incarnation,
          event: (now) => ({ kind: 'configurationCompiled', now, hash: effect.hash, faults: [] }),
        });
        break;
      case 'completeStop':
        break;
      default:
        this.#runWireEffect(machine, 'store', effect);
    }
  }

  #runRegistryEffect(machine: Machine, effect: RegistryEffect): void {
    if (effect.kind === 'reply') this.#onReply(effect.correlationId, effect.status, effect.body);
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
      at: this.#now,
      kind: 'message',
      machine: machine.index,
      frame: frame.kind,
      from: sender,
      to,
    });
    this.#send({ kind: 'message', from: peerOf(machine, role), sender, to, frame });
  }

  #send(message: Extract<ScheduledEvent, { kind: 'message' }>): void {
    const { sender, to, frame } = message;
    const cut = cutBetween(this.#cuts, sender.machine, to.machine, this.#now);
    if (cut?.messages === 'lost') return;
    const latency = sender.machine === to.machine ? localLatencyMs : networkLatencyMs;
    const arrival = cut === undefined ? latency : cut.until - this.#now + latency;
    const fault = this.#messageFaults.find((one) =>
      faultApplies(one, frame.kind, sender, to, this.#now),
    );
    if (fault === undefined) {
      this.#schedule(arrival, message);
      return;
    }
    this.#messageFaults = this.#messageFaults.filter((one) => one !== fault);
    switch (fault.action.action) {
      case 'drop':
        break;
      case 'delay':
        this.#schedule(arrival + fault.action.byMs, message);
        break;
      case 'repeat':
        this.#schedule(arrival, message);
        this.#schedule(arrival + fault.action.afterMs, message);
        break;
    }
  }

  #writeDisk(item: Extract<ScheduledEvent, { kind: 'disk write' }>): void {
    const machine = this.#machine(item.machine);
    if (machine?.isRunning !== true || machine.incarnation !== item.incarnation) return;
    if (machine.diskFault === 'stalled') {
      this.#heldEvents.push(item);
      return;
    }
    const full = machine.diskFault === 'full';
    if (!full) this.#storeWrite(machine, item.write);
    const { id } = item.write;
    this.#schedule(0, {
      kind: 'store event',
      machine: item.machine,
      incarnation: item.incarnation,
      event: (now) =>
        full
          ? { kind: 'writeFailed', now, writeId: id, reason: 'no room', isDiskFull: true }
          : { kind: 'writeSynced', now, writeId: id },
    });
  }

  #storeWrite(machine: Machine, write: DiskWrite): void {
    const node = nodeOf({ machine: machine.index, role: 'store' });
    this.#monitor.onDiskWrite(node, machine.disk, write, this.#now);
    this.#updateMachine(machine.index, { disk: applyWrite(machine.disk, write) });
  }

  #runOperator(): void {
    const [operator, calls] = operatorTurn(this.#operator, this.layout.founders, this.#now);
    this.#operator = operator;
    for (const call of calls) {
      this.#lastRequest += 1;
      this.#schedule(networkLatencyMs, {
        kind: 'call',
        call,
        floor: this.#monitor.highestConfirmed,
        ref: this.#lastRequest,
      });
    }
    this.#schedule(operatorIntervalMs, { kind: 'operator' });
  }

  #onReply(ref: number, status: number, body: string): void {
    const asked = this.#pendingReplies.get(ref);
    if (asked === undefined) return;
    this.#pendingReplies.delete(ref);
    if (status !== 200) return;
    const { expected } = asked.call;
    const answer = parseAnswer(body);
    if (expected.kind === 'read') this.#monitor.onRead(answer.generation, asked.floor, this.#now);
    else {
      this.#operator = closeWrite(this.#operator, expected.number);
      const accepted = answer.kind === 'accepted';
      this.#monitor.onAcknowledged(expected.number, expected.hash, accepted, this.#now);
    }
  }

  /** A primary answers that a number is accepted: the copies are counted right then. */
  #checkConfirmation(machine: Machine, status: number, body: string): void {
    const answer = parseAnswer(body);
    const store = machine.store;
    if (status !== 200 || answer.kind !== 'accepted' || store?.metadata === undefined) return;
    const metadata = this.#machine(machine.index)?.store?.metadata ?? store.metadata;
    const images = new Map<NodeId, DiskImage | undefined>(
      this.#machines.map((one) => [nodeOf({ machine: one.index, role: 'store' }), one.disk]),
    );
    const well = this.#machines.filter((one) => this.#isHealthyFor(one, settledMs)).length;
    this.#monitor.onConfirming(
      answer.generation,
      nodeOf({ machine: machine.index, role: 'store' }),
      metadata.inSyncSet,
      images,
      Math.min(this.layout.tolerate + 1, well),
      this.#now,
    );
  }

  /** Whether a machine runs and nothing has been the matter with it for a while. */
  #isHealthyFor(machine: Machine, span: number): boolean {
    const cut = this.#cuts.some(
      (one) =>
        (one.machine === machine.index || one.peer === machine.index || one.peer === 'all') &&
        (one.machine === machine.index || one.peer === machine.index) &&
        this.#now - one.until < span,
    );
    return (
      machine.isRunning &&
      !machine.isPaused &&
      machine.diskFault === 'none' &&
      !cut &&
      this.#now - machine.faultedUntil >= span
    );
  }

  #start(index: number): void {
    const machine = this.#machine(index);
    if (machine === undefined || machine.isRunning) return;
    const next = startMachine(machine, this.layout, this.#now);
    this.#machines[index] = {
      ...next,
      faultedUntil: this.#now,
      crashedUntil: next.incarnation === 1 ? -Infinity : this.#now,
    };
    const { incarnation } = next;
    this.#schedule(1, { kind: 'read disk', machine: index, incarnation });
    for (const [place, role] of (['registry', 'store'] as const).entries())
      this.#schedule(3 + place * 11 + index * 5, {
        kind: 'tick',
        target: { machine: index, role },
        incarnation,
      });
  }

  #wake(index: number): void {
    const machine = this.#machine(index);
    if (machine?.isPaused !== true) return;
    this.#updateMachine(index, { isPaused: false, faultedUntil: this.#now });
    // A process that slept in its wait for sockets may read all of them before its timers.
    this.#releaseHeld((one) => this.#machineIndexOf(one) === index && one.kind !== 'tick');
    this.#releaseHeld((one) => this.#machineIndexOf(one) === index, tickIntervalMs);
  }

  #runDeviation(deviation: Deviation): void {
    switch (deviation.kind) {
      case 'crash':
        this.#crash(deviation);
        break;
      case 'pause': {
        const machine = this.#machine(deviation.machine);
        if (machine?.isRunning !== true || machine.isPaused) break;
        this.#updateMachine(deviation.machine, { isPaused: true });
        this.#schedule(deviation.forMs, { kind: 'wake', machine: deviation.machine });
        break;
      }
      case 'cut':
        this.#cut(deviation);
        break;
      case 'disk':
        this.#updateMachine(deviation.machine, { diskFault: deviation.trouble });
        this.#schedule(deviation.forMs, { kind: 'disk well', machine: deviation.machine });
        break;
      case 'join':
        this.#start(deviation.machine);
        break;
      case 'message':
        break;
    }
  }

  #cut(deviation: Cut): void {
    this.#cuts = [
      ...this.#cuts.filter((one) => this.#now - one.until < recoveryMs),
      { ...deviation, until: this.#now + deviation.forMs },
    ];
  }

  /** Whether losing this disk now is a single loss: no other machine down lately, at most one in trouble. */
  #isSingleLoss(index: number): boolean {
    const others = this.#machines.filter((one) => one.index !== index && one.incarnation > 0);
    const down = others.some((one) => !one.isRunning || this.#now - one.crashedUntil < recoveryMs);
    const troubled = others.filter((one) => !this.#isHealthyFor(one, recoveryMs)).length;
    return !this.#isDiskLost && !down && troubled <= 1;
  }

  #crash(deviation: Crash): void {
    const machine = this.#machine(deviation.machine);
    if (machine?.isRunning !== true) return;
    const lost = deviation.disk === 'lost' && this.#isSingleLoss(machine.index);
    const pending = this.#takePendingWrite(machine);
    if (deviation.disk === 'kept with pending write' && pending !== undefined)
      this.#storeWrite(machine, pending);
    const current = this.#machine(deviation.machine) ?? machine;
    this.#machines[machine.index] = {
      ...stopMachine(current),
      disk: lost ? undefined : current.disk,
    };
    this.#isDiskLost ||= lost;
    this.#heldEvents = this.#heldEvents.filter(
      (one) => this.#machineIndexOf(one) !== machine.index,
    );
    for (const other of this.#machines)
      if (other.index !== machine.index && other.isRunning) this.#announceEnd(machine, other);
    if (Number.isFinite(deviation.forMs))
      this.#schedule(deviation.forMs, { kind: 'start', machine: machine.index });
  }

  /** The first write that the disk had in hand. */
  #takePendingWrite(machine: Machine): DiskWrite | undefined {
    const isPending = (item: ScheduledEvent): boolean =>
      item.kind === 'disk write' &&
      item.machine === machine.index &&
      item.incarnation === machine.incarnation;
    const pending = [...this.#heldEvents.filter(isPending), ...this.#eventQueue.extract(isPending)];
    const first = pending[0];
    return first?.kind === 'disk write' && machine.diskFault === 'none' ? first.write : undefined;
  }

  #announceEnd(machine: Machine, other: Machine): void {
    if (cutBetween(this.#cuts, machine.index, other.index, this.#now) !== undefined) return;
    for (const of of ['registry', 'store'] as const)
      for (const role of ['registry', 'store'] as const)
        this.#schedule(networkLatencyMs, {
          kind: 'gone',
          of: { machine: machine.index, role: of },
          to: { machine: other.index, role },
        });
  }
}

interface Answer {
  readonly kind: string;
  readonly generation: number;
}

/** The parts of an answer that matter here. */
const parseAnswer = (body: string): Answer => ({
  kind: /"kind":"([a-z]+)"/.exec(body)?.[1] ?? '',
  generation: Number(/"generation":(\d+)/.exec(body)?.[1] ?? 0),
});
