import { Socket } from 'node:net';
import { err } from 'true-myth/result';
import * as v from 'valibot';
import { Disk } from '@switchwheel/runtime';
import { type Weather, fair, weather } from './weather.js';

// Loaded into the processes of a development fleet before their own program: it stands between them and their network and disk.
// The programs know nothing of it, and have no switch for it.
const own = process.env['TRAINSET_HOST'] ?? '';
let now: Weather = fair;
process.on('message', (raw) => {
  const read = v.safeParse(weather, raw);
  if (read.success) now = read.output;
});
// Listening to the development fleet keeps no process alive.
process.channel?.unref();

const lookSpan = 20;
const waitFor = (test: () => boolean, then: () => void): void => {
  if (test()) then();
  else setTimeout(() => waitFor(test, then), lookSpan);
};

const first = (list: readonly unknown[]): unknown => {
  const [head] = list;
  return Array.isArray(head) ? head[0] : head;
};
const hostIn = (given: unknown): string =>
  typeof given === 'object' && given !== null && 'host' in given && typeof given.host === 'string'
    ? given.host
    : '';

type Act = (...list: unknown[]) => unknown;
const isAct = (raw: unknown): raw is Act => typeof raw === 'function';
const actOf = (from: object, name: string): Act => {
  const found: unknown = Reflect.get(from, name);
  if (!isAct(found)) throw new Error(`no ${name} to stand before`);
  return found;
};
const apply = (act: Act, on: object, list: unknown[]): unknown => Reflect.apply(act, on, list);

const connect = actOf(Socket.prototype, 'connect');
const write = actOf(Socket.prototype, '_write');
const meant = new WeakMap<object, string>();

Reflect.set(
  Socket.prototype,
  'connect',
  function patched(this: Socket, ...list: unknown[]): unknown {
    const given = first(list);
    const host = hostIn(given);
    if (host === '' || own === '' || typeof given !== 'object' || given === null)
      return apply(connect, this, list);
    meant.set(this, host);
    // Each machine calls from its own number, so that the others can tell who it is.
    Reflect.set(given, 'localAddress', own);
    if (!now.bar.includes(host)) return apply(connect, this, list);
    Reflect.set(this, 'connecting', true);
    waitFor(
      () => this.destroyed || !now.bar.includes(host),
      () => {
        if (!this.destroyed) apply(connect, this, list);
      },
    );
    return this;
  },
);

const peerOf = (socket: Socket): string => meant.get(socket) ?? socket.remoteAddress ?? '';
const lanes = new WeakMap<object, number>();

Reflect.set(
  Socket.prototype,
  '_write',
  function patched(this: Socket, ...list: unknown[]): unknown {
    const peer = peerOf(this);
    const free = lanes.get(this) ?? 0;
    const at = performance.now();
    const due = now.lagMs > 0 ? Math.max(at + now.lagMs, free) : free;
    if (!now.hold.includes(peer) && due <= at) return apply(write, this, list);
    lanes.set(this, due);
    waitFor(
      () => this.destroyed || (!now.hold.includes(peer) && performance.now() >= due),
      () => {
        apply(write, this, list);
      },
    );
    return undefined;
  },
);

const put = actOf(Disk.prototype, 'write');
Reflect.set(
  Disk.prototype,
  'write',
  async function patched(this: Disk, change: unknown): Promise<unknown> {
    if (now.disk === 'full') return err({ text: 'ENOSPC: no space left on device', full: true });
    await new Promise<void>((done) => {
      waitFor(() => now.disk !== 'stalled', done);
    });
    return apply(put, this, [change]);
  },
);
