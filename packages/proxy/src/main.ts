import Koa from 'koa';
import { type Frame, ChannelPool } from '@switchwheel/transport';
import {
  type HandlerContext,
  Cache,
  type ShutdownPhase,
  CacheLookup,
  type OpenDataChannel,
  EdgeRequestHandler,
  type ProxyEffect,
  type ProxyEvent,
  ShieldRequestHandler,
  shutdownPhase,
  connectTimeoutMs,
  isReady,
  newProxyState,
  proxyTransition,
} from '@switchwheel/proxy-core';
import {
  type MetricSample,
  adminApp,
  readSettingsOrExit,
  createLogger,
  runTimeSliced,
  isProcessEffect,
  newRandomState,
  newIncarnation,
  now,
  handleShutdownSignals,
  startHttpServer,
  metricSample as plain,
  runEventLoop,
} from '@switchwheel/runtime';
import type { ProcessEffect } from '@switchwheel/transport';
import { buildConfiguration } from '@switchwheel/configuration';
import { proxyView } from './admin/proxy-view.js';
import { program, settingsSchema } from './settings/settings.js';
import { handleClientRequest } from './shielded-edge/client-handler.js';
import { StreamingOriginClient, probeOrigin } from './shield/origin-client.js';

const settings = readSettingsOrExit(program, settingsSchema);
const log = createLogger(program.name, settings.node, settings.log);
const member = {
  node: settings.node,
  role: settings.role,
  area: settings.area,
  address: settings.listen,
  door: settings.role === 'shield' ? settings.listen : settings.door,
  admin: settings.admin,
  incarnation: newIncarnation(),
};
const channels = new ChannelPool({
  node: member.node,
  address: member.address,
  incarnation: member.incarnation,
});
const cache = new Cache(settings.cache * 1024 * 1024);
const cacheLookup = new CacheLookup(cache);
const origins = new StreamingOriginClient();

type OwnEffect = Exclude<ProxyEffect, ProcessEffect>;
const isOwnWire = (effect: ProxyEffect): effect is ProcessEffect => isProcessEffect(effect);

const runEffect = (effect: OwnEffect): void => {
  switch (effect.kind) {
    case 'compileConfiguration':
      void runTimeSliced(
        buildConfiguration(
          effect.chunkTexts,
          effect.offer.generation,
          effect.offer.hash,
          effect.previous,
        ),
      ).then((built) =>
        loop.dispatch((at) =>
          built.isOk
            ? {
                kind: 'configurationCompiled',
                now: at,
                offer: effect.offer,
                compiledConfiguration: built.value,
              }
            : { kind: 'compileFailed', now: at, offer: effect.offer, faults: built.error },
        ),
      );
      break;
    case 'adoptConfiguration':
      break;
    case 'purgeCache':
      cache.purge(effect.purges, effect.flush, effect.lastPurgeSeq);
      edgeHandler.onPurged();
      shieldHandler.onPurged();
      break;
    case 'setLiveOrigins':
      origins.retainInstances(effect.liveInstances);
      break;
    case 'checkHealth':
      probeEndpoint(effect);
      break;
    case 'sendRequest':
    case 'cancelRequest':
    case 'startResponse':
    case 'failRequest':
      edgeHandler.run(effect);
      break;
    case 'startAttempt':
    case 'cancelAttempt':
    case 'useResponse':
    case 'rejectRequest':
      shieldHandler.run(effect);
      break;
  }
};

const loop = runEventLoop<ReturnType<typeof newProxyState>, ProxyEvent, OwnEffect>(
  proxyTransition,
  newProxyState(member, settings.seeds, newRandomState()),
  channels,
  log,
  runEffect,
  isOwnWire,
);
const state = loop.machine.state;
const handlerContext: HandlerContext = { now, state, dispatch: loop.dispatch };

const dialShield: OpenDataChannel = (to, ears) => {
  const channel = channels.openDataChannel(to);
  const late = setTimeout(() => channel.terminate('no hello in time'), connectTimeoutMs);
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

const edgeHandler = new EdgeRequestHandler(
  `${settings.node}.${member.incarnation.toString(36)}`,
  cacheLookup,
  dialShield,
  handlerContext,
);
const shieldHandler = new ShieldRequestHandler(
  origins,
  cacheLookup,
  handlerContext,
  (instance, why) =>
    log.write(
      'warn',
      'a result is not trusted',
      new Map([
        ['instance', instance],
        ['why', why],
      ]),
    ),
);
channels.on('data', (channel) => {
  const ears = shieldHandler.inbound.accept(channel, now);
  channel.on('frame', (frame: Frame) => ears.frame(frame));
  channel.on('closed', () => ears.closed());
});

const probeEndpoint = (one: Extract<OwnEffect, { kind: 'checkHealth' }>): void => {
  const { service, instance } = one;
  const since = now();
  void probeOrigin(`http://${one.address}${one.path}`, service, instance).then((good) =>
    loop.dispatch((at) => ({
      kind: 'healthChecked',
      now: at,
      service,
      instance,
      isHealthy: good,
      durationMs: at - since,
    })),
  );
};

let worstLoopLagMs = 0;
const metrics = (): readonly MetricSample[] => {
  const cabin = state().nodeAgent;
  worstLoopLagMs = Math.max(worstLoopLagMs, loop.takeMaxLagMs());
  const counted = (side: string, counts: ReadonlyMap<string, number>): readonly MetricSample[] =>
    [...counts].map(([what, value]) => ({
      name: `${side}_total`,
      labels: new Map([['what', what]]),
      value,
    }));
  return [
    plain('ready', isReady(cabin, now()) ? 1 : 0),
    plain('generation', cabin.compiledConfiguration?.generation ?? 0),
    plain('purged', cabin.lastPurgeSeq),
    plain('cache_bytes', cache.bytes),
    plain('cache_objects', cache.size),
    plain('forwarding', state().forwarding.requests.size),
    plain('loop_lag_worst_ms', worstLoopLagMs),
    plain('foreign_channels_total', channels.protocolErrorCount),
    plain('memory_bytes', process.memoryUsage.rss()),
    ...counted('edge', edgeHandler.counts),
    ...counted('shield', shieldHandler.counts),
  ];
};

const app = new Koa();
app.silent = true;
app.use(async (ctx) => {
  await handleClientRequest(edgeHandler, ctx);
});

const adminServer = await startHttpServer(
  adminApp(
    () => isReady(state().nodeAgent, now()),
    metrics,
    () => proxyView(state()),
  ),
  settings.admin,
);
await channels.listen();
const clientServer =
  settings.role === 'edge' ? await startHttpServer(app, settings.door) : undefined;
log.write(
  'info',
  'started',
  new Map<string, string>([
    ['role', settings.role],
    ['listen', settings.listen],
    ['door', settings.door],
  ]),
);

const openRequestCount = (): number =>
  edgeHandler.openRequests +
  shieldHandler.inbound.size +
  [...state().leaders.values()].reduce((sum, one) => sum + one.attempts.size, 0);

handleShutdownSignals(log, async () => {
  const since = now();
  loop.dispatch((at) => ({ kind: 'stopRequested', now: at }));
  clientServer?.server.on('request', (_, response) => response.setHeader('connection', 'close'));
  const look = (): ShutdownPhase => shutdownPhase(settings.role, since, openRequestCount(), now());
  let phase = look();
  for (; phase === 'serving' || phase === 'draining'; phase = look()) {
    if (phase === 'draining') clientServer?.stopAccepting();
    await new Promise<void>((done) => {
      setTimeout(done, 20);
    });
  }
  clientServer?.stopAccepting();
  if (phase === 'aborting') {
    // What takes longer than a stop may take ends visibly broken, never as if whole.
    const many = edgeHandler.abortAll('this node stops');
    log.write(
      'warn',
      'results are broken off by the stop',
      new Map([
        ['edge', many],
        ['shield', shieldHandler.inbound.size],
      ]),
    );
    await new Promise<void>((done) => {
      setTimeout(done, 100);
    });
  }
  loop.stop();
  adminServer.stopAccepting();
  channels.close();
});
