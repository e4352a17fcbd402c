import { Socket } from 'node:net';
import { err } from 'true-myth/result';
import * as v from 'valibot';
import { Disk } from '@switchwheel/runtime';
import { type ProcessFaults, noFaults, processFaultsSchema } from './process-faults.js';

// Loaded into the processes of a development fleet before their own program: it stands between them and their network and disk.
// The programs know nothing of it, and have no switch for it.
const ownHost = process.env['TRAINSET_HOST'] ?? '';
let currentFaults: ProcessFaults = noFaults;
process.on('message', (raw) => {
  const read = v.safeParse(processFaultsSchema, raw);
  if (read.success) currentFaults = read.output;
});
// Listening to the development fleet keeps no process alive.
process.channel?.unref();

const pollIntervalMs = 20;
const runWhen = (condition: () => boolean, action: () => void): void => {
  if (condition()) action();
  else setTimeout(() => runWhen(condition, action), pollIntervalMs);
};

const firstArgument = (args: readonly unknown[]): unknown => {
  const [head] = args;
  return Array.isArray(head) ? head[0] : head;
};
const hostIn = (given: unknown): string =>
  typeof given === 'object' && given !== null && 'host' in given && typeof given.host === 'string'
    ? given.host
    : '';

type AnyFunction = (...list: unknown[]) => unknown;
const isFunction = (raw: unknown): raw is AnyFunction => typeof raw === 'function';
const methodOf = (prototype: object, name: string): AnyFunction => {
  const found: unknown = Reflect.get(prototype, name);
  if (!isFunction(found)) throw new Error(`no ${name} to stand before`);
  return found;
};
const callOriginal = (original: AnyFunction, receiver: object, args: unknown[]): unknown =>
  Reflect.apply(original, receiver, args);

const originalConnect = methodOf(Socket.prototype, 'connect');
const originalWrite = methodOf(Socket.prototype, '_write');
const intendedHosts = new WeakMap<object, string>();

Reflect.set(
  Socket.prototype,
  'connect',
  function patched(this: Socket, ...list: unknown[]): unknown {
    const given = firstArgument(list);
    const host = hostIn(given);
    if (host === '' || ownHost === '' || typeof given !== 'object' || given === null)
      return callOriginal(originalConnect, this, list);
    intendedHosts.set(this, host);
    // Each machine calls from its own number, so that the others can tell who it is.
    Reflect.set(given, 'localAddress', ownHost);
    if (!currentFaults.bar.includes(host)) return callOriginal(originalConnect, this, list);
    Reflect.set(this, 'connecting', true);
    runWhen(
      () => this.destroyed || !currentFaults.bar.includes(host),
      () => {
        if (!this.destroyed) callOriginal(originalConnect, this, list);
      },
    );
    return this;
  },
);

const peerHost = (socket: Socket): string =>
  intendedHosts.get(socket) ?? socket.remoteAddress ?? '';
const earliestWrites = new WeakMap<object, number>();

Reflect.set(
  Socket.prototype,
  '_write',
  function patched(this: Socket, ...list: unknown[]): unknown {
    const peer = peerHost(this);
    const free = earliestWrites.get(this) ?? 0;
    const at = performance.now();
    const due = currentFaults.lagMs > 0 ? Math.max(at + currentFaults.lagMs, free) : free;
    if (!currentFaults.hold.includes(peer) && due <= at)
      return callOriginal(originalWrite, this, list);
    earliestWrites.set(this, due);
    runWhen(
      () => this.destroyed || (!currentFaults.hold.includes(peer) && performance.now() >= due),
      () => {
        callOriginal(originalWrite, this, list);
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
      return err({ text: 'ENOSPC: no space left on device', full: true });
    await new Promise<void>((done) => {
      runWhen(() => currentFaults.disk !== 'stalled', done);
    });
    return callOriginal(originalDiskWrite, this, [change]);
  },
);
