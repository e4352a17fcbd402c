/**
 * Preload script of the processes of a development fleet: patches their sockets and disk so that faults can be injected.
 * The programs themselves contain no fault injection.
 */

import { Socket } from 'node:net';
import { err } from 'true-myth/result';
import * as v from 'valibot';
import { Disk } from '@switchwheel/runtime';
import {
  type ProcessFaults,
  faultHostVariable,
  noFaults,
  processFaultsSchema,
} from './process-faults.js';

const ownHost = process.env[faultHostVariable] ?? '';
let currentFaults: ProcessFaults = noFaults;
process.on('message', (raw) => {
  const parsed = v.safeParse(processFaultsSchema, raw);
  if (parsed.success) currentFaults = parsed.output;
});
// The IPC channel must not keep a process alive.
process.channel?.unref();

const pollIntervalMs = 20;
/** Runs an action synchronously if a condition holds, otherwise polls until it does. */
const runWhen = (condition: () => boolean, action: () => void): void => {
  if (condition()) action();
  else setTimeout(() => runWhen(condition, action), pollIntervalMs);
};

/** Returns the first argument of `connect`; Node.js passes its arguments on as one array. */
const firstArgument = (args: readonly unknown[]): unknown => {
  const [first] = args;
  return Array.isArray(first) ? first[0] : first;
};
/** Returns the host in socket options; empty if they hold only a path or a port. */
const hostIn = (options: unknown): string =>
  typeof options === 'object' &&
  options !== null &&
  'host' in options &&
  typeof options.host === 'string'
    ? options.host
    : '';

type AnyFunction = (...args: unknown[]) => unknown;
const isFunction = (raw: unknown): raw is AnyFunction => typeof raw === 'function';
const methodOf = (prototype: object, name: string): AnyFunction => {
  const method: unknown = Reflect.get(prototype, name);
  if (!isFunction(method))
    throw new Error(`cannot patch ${name}: the prototype has no such method`);
  return method;
};
const callOriginal = (original: AnyFunction, receiver: object, args: unknown[]): unknown =>
  Reflect.apply(original, receiver, args);

const originalConnect = methodOf(Socket.prototype, 'connect');
const originalWrite = methodOf(Socket.prototype, '_write');
const intendedHosts = new WeakMap<object, string>();

Reflect.set(
  Socket.prototype,
  'connect',
  function patched(this: Socket, ...args: unknown[]): unknown {
    const options = firstArgument(args);
    const host = hostIn(options);
    if (host === '' || ownHost === '' || typeof options !== 'object' || options === null)
      return callOriginal(originalConnect, this, args);
    intendedHosts.set(this, host);
    // Each machine connects from its own address, by which its peers and the faults identify it.
    Reflect.set(options, 'localAddress', ownHost);
    if (!currentFaults.unreachablePeers.includes(host))
      return callOriginal(originalConnect, this, args);
    Reflect.set(this, 'connecting', true);
    runWhen(
      () => this.destroyed || !currentFaults.unreachablePeers.includes(host),
      () => {
        if (!this.destroyed) callOriginal(originalConnect, this, args);
      },
    );
    return this;
  },
);

/** Returns the loopback address of the machine that a socket is connected to. */
const peerHost = (socket: Socket): string =>
  intendedHosts.get(socket) ?? socket.remoteAddress ?? '';
/** Earliest time of the next write on each socket, so that delayed writes keep their order. */
const earliestWrites = new WeakMap<object, number>();

Reflect.set(
  Socket.prototype,
  '_write',
  function patched(this: Socket, ...args: unknown[]): unknown {
    const peer = peerHost(this);
    const earliestAt = earliestWrites.get(this) ?? 0;
    const now = performance.now();
    const dueAt =
      currentFaults.lagMs > 0 ? Math.max(now + currentFaults.lagMs, earliestAt) : earliestAt;
    if (!currentFaults.stalledPeers.includes(peer) && dueAt <= now)
      return callOriginal(originalWrite, this, args);
    earliestWrites.set(this, dueAt);
    runWhen(
      () =>
        this.destroyed ||
        (!currentFaults.stalledPeers.includes(peer) && performance.now() >= dueAt),
      () => {
        callOriginal(originalWrite, this, args);
      },
    );
    return undefined;
  },
);

const originalDiskWrite = methodOf(Disk.prototype, 'write');
Reflect.set(
  Disk.prototype,
  'write',
  async function patched(this: Disk, change: unknown): Promise<unknown> {
    if (currentFaults.disk === 'full')
      return err({ text: 'ENOSPC: no space left on device', isDiskFull: true });
    await new Promise<void>((done) => {
      runWhen(() => currentFaults.disk !== 'stalled', done);
    });
    return callOriginal(originalDiskWrite, this, [change]);
  },
);
