/**
 * Loaded into the processes of a development fleet before their own program: patches their sockets and disk so that faults
 * can be injected. The programs themselves know nothing of it and have no switch for it.
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
  const read = v.safeParse(processFaultsSchema, raw);
  if (read.success) currentFaults = read.output;
});
// The IPC channel must not keep a process alive.
process.channel?.unref();

const pollIntervalMs = 20;
/** Runs an action as soon as a condition holds; at once if it does already. */
const runWhen = (condition: () => boolean, action: () => void): void => {
  if (condition()) action();
  else setTimeout(() => runWhen(condition, action), pollIntervalMs);
};

/** The first argument; Node.js passes the arguments of `connect` on as one list. */
const firstArgument = (args: readonly unknown[]): unknown => {
  const [first] = args;
  return Array.isArray(first) ? first[0] : first;
};
/** The host that a socket's options name; empty for a path or a port alone. */
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
  if (!isFunction(method)) throw new Error(`no method ${name} to patch`);
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
    // Each machine connects from its own address, so that its peers know which machine it is.
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

/** The machine at the other end of a socket. */
const peerHost = (socket: Socket): string =>
  intendedHosts.get(socket) ?? socket.remoteAddress ?? '';
/** When the next write of a socket may go out, so that delayed writes keep their order. */
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
