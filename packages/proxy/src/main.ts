import Koa from 'koa';
import { type Frame, ChannelPool } from '@switchwheel/transport';
import {
  type Cab,
  Cache,
  type Departure,
  Desk,
  type Dial,
  EdgeLine,
  type ProxyEffect,
  type ProxyEvent,
  ShieldLine,
  departure,
  dialSpan,
  isReady,
  newProxy,
  proxyStep,
} from '@switchwheel/proxy-core';
import {
  type Reading,
  adminApp,
  bootOrExit,
  createLog,
  inSlices,
  isWireEffect,
  newDice,
  newIncarnation,
  now,
  onStop,
  openDoor,
  plainReading as plain,
  runLoop,
} from '@switchwheel/runtime';
import type { WireEffect } from '@switchwheel/transport';
import { build } from '@switchwheel/configuration';
import { proxyView } from './admin/view.js';
import { program, schema } from './boot/boot.js';
import { serveCaller } from './edge/door.js';
import { Origins, probe } from './origin/leg.js';

const boot = bootOrExit(program, schema);
const log = createLog(program.name, boot.node, boot.log);
const member = {
  node: boot.node,
  role: boot.role,
  area: boot.area,
  address: boot.listen,
  door: boot.role === 'shield' ? boot.listen : boot.door,
  admin: boot.admin,
  incarnation: newIncarnation(),
};
const yard = new ChannelPool({
  node: member.node,
  address: member.address,
  incarnation: member.incarnation,
});
const cache = new Cache(boot.cache * 1024 * 1024);
const desk = new Desk(cache);
const origins = new Origins();

type OwnEffect = Exclude<ProxyEffect, WireEffect>;
const isOwnWire = (effect: ProxyEffect): effect is WireEffect => isWireEffect(effect);

const run = (effect: OwnEffect): void => {
  switch (effect.kind) {
    case 'build':
      void inSlices(
        build(effect.texts, effect.offer.generation, effect.offer.hash, effect.before),
      ).then((built) =>
        loop.tell((at) =>
          built.isOk
            ? { kind: 'built', now: at, offer: effect.offer, table: built.value }
            : { kind: 'unbuilt', now: at, offer: effect.offer, faults: built.error },
        ),
      );
      break;
    case 'adopt':
      break;
    case 'purge':
      cache.purge(effect.purges, effect.flush, effect.top);
      edge.purged();
      shield.purged();
      break;
    case 'gates':
      origins.only(effect.standing);
      break;
    case 'probe':
      probeAt(effect);
      break;
    case 'ask':
    case 'cancel':
    case 'begin':
    case 'fail':
      edge.run(effect);
      break;
    case 'leg':
    case 'cut':
    case 'use':
    case 'turnAway':
      shield.run(effect);
      break;
  }
};

const loop = runLoop<ReturnType<typeof newProxy>, ProxyEvent, OwnEffect>(
  proxyStep,
  newProxy(member, boot.seeds, newDice()),
  yard,
  log,
  run,
  isOwnWire,
);
const state = loop.store.state;
const cab: Cab = { now, state, tell: loop.tell };

const dial: Dial = (to, ears) => {
  const channel = yard.open(to);
  const late = setTimeout(() => channel.terminate('no hello in time'), dialSpan);
  channel.on('up', () => {
    clearTimeout(late);
    ears.up();
  });
  channel.on('frame', (frame: Frame) => ears.frame(frame));
  channel.on('closed', () => {
    clearTimeout(late);
    ears.closed();
  });
  return channel;
};

const edge = new EdgeLine(`${boot.node}.${member.incarnation.toString(36)}`, desk, dial, cab);
const shield = new ShieldLine(origins, desk, cab, (instance, why) =>
  log.write(
    'warn',
    'a result is not trusted',
    new Map([
      ['instance', instance],
      ['why', why],
    ]),
  ),
);
yard.on('data', (channel) => {
  const ears = shield.dock.take(channel, now);
  channel.on('frame', (frame: Frame) => ears.frame(frame));
  channel.on('closed', () => ears.closed());
});

const probeAt = (one: Extract<OwnEffect, { kind: 'probe' }>): void => {
  const { service, instance } = one;
  const since = now();
  void probe(`http://${one.address}${one.path}`, service, instance).then((good) =>
    loop.tell((at) => ({ kind: 'probed', now: at, service, instance, good, ms: at - since })),
  );
};

let worstLag = 0;
const readings = (): readonly Reading[] => {
  const cabin = state().cabin;
  worstLag = Math.max(worstLag, loop.lag());
  const counted = (side: string, counts: ReadonlyMap<string, number>): readonly Reading[] =>
    [...counts].map(([what, value]) => ({
      name: `${side}_total`,
      labels: new Map([['what', what]]),
      value,
    }));
  return [
    plain('ready', isReady(cabin, now()) ? 1 : 0),
    plain('generation', cabin.table?.generation ?? 0),
    plain('purged', cabin.purged),
    plain('cache_bytes', cache.bytes),
    plain('cache_objects', cache.size),
    plain('forwarding', state().forward.wagons.size),
    plain('loop_lag_worst_ms', worstLag),
    plain('foreign_channels_total', yard.foreign),
    plain('memory_bytes', process.memoryUsage.rss()),
    ...counted('edge', edge.counts),
    ...counted('shield', shield.counts),
  ];
};

const app = new Koa();
app.silent = true;
app.use(async (ctx) => {
  await serveCaller(edge, ctx);
});

const admin = await openDoor(
  adminApp(
    () => isReady(state().cabin, now()),
    readings,
    () => proxyView(state()),
  ),
  boot.admin,
);
await yard.listen();
const door = boot.role === 'edge' ? await openDoor(app, boot.door) : undefined;
log.write(
  'info',
  'started',
  new Map<string, string>([
    ['role', boot.role],
    ['listen', boot.listen],
    ['door', boot.door],
  ]),
);

const openHere = (): number =>
  edge.open +
  shield.dock.size +
  [...state().keepers.values()].reduce((sum, one) => sum + one.legs.size, 0);

onStop(log, async () => {
  const since = now();
  loop.tell((at) => ({ kind: 'stop', now: at }));
  door?.server.on('request', (_, response) => response.setHeader('connection', 'close'));
  const look = (): Departure => departure(boot.role, since, openHere(), now());
  let phase = look();
  for (; phase === 'serving' || phase === 'ending'; phase = look()) {
    if (phase === 'ending') door?.shut();
    await new Promise<void>((done) => {
      setTimeout(done, 20);
    });
  }
  door?.shut();
  if (phase === 'broken') {
    // What takes longer than a stop may take ends visibly broken, never as if whole.
    const many = edge.breakAll('this node stops');
    log.write(
      'warn',
      'results are broken off by the stop',
      new Map([
        ['edge', many],
        ['shield', shield.dock.size],
      ]),
    );
    await new Promise<void>((done) => {
      setTimeout(done, 100);
    });
  }
  loop.end();
  admin.shut();
  yard.close();
});
