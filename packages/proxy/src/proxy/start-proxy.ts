/**
 * Program of a proxy in a fleet with shields: an edge accepts clients' requests and forwards them to shields; a shield
 * leads services and sends their requests to origins. This module creates and connects the components, starts the
 * servers and shuts them down.
 */

import Koa from 'koa';
import { ChannelPool, type Frame, type Member, type ProcessEffect } from '@switchwheel/transport';
import {
  Cache,
  CacheLookup,
  EdgeRequestHandler,
  type HandlerContext,
  type ProxyEffect,
  type ProxyEvent,
  type ProxyState,
  ShieldRequestHandler,
  isReady,
  newProxyState,
  proxyTransition,
} from '@switchwheel/proxy-core';
import {
  type EventLoop,
  type HttpServer,
  type Logger,
  type RunningProgram,
  createAdminApp,
  isProcessEffect,
  newIncarnation,
  newRandomState,
  now,
  startEventLoop,
  startHttpServer,
} from '@switchwheel/runtime';
import { proxyView } from '../admin/proxy-view.js';
import { compileConfiguration } from '../node-agent/compile-configuration.js';
import type { ProxySettings } from '../settings/settings.js';
import { StreamingOriginClient, checkOriginHealth } from '../shield/origin-client.js';
import { handleClientRequest } from '../shielded-edge/client-handler.js';
import { drainProxy } from './drain.js';
import { dataChannelsOf } from './open-data-channel.js';
import { proxyMetrics } from './proxy-metrics.js';

type HandledEffect = Exclude<ProxyEffect, ProcessEffect>;
type ProxyLoop = EventLoop<ProxyState, ProxyEvent>;

/** Components of a running proxy. */
interface ProxyParts {
  readonly channels: ChannelPool;
  readonly cache: Cache;
  readonly origins: StreamingOriginClient;
  readonly loop: ProxyLoop;
  readonly edgeHandler: EdgeRequestHandler;
  readonly shieldHandler: ShieldRequestHandler;
}

/** Starts a proxy; resolves once it listens on all addresses. */
export const startProxy = async (settings: ProxySettings, log: Logger): Promise<RunningProgram> => {
  const parts = wireProxy(settings, log);
  const { channels, edgeHandler, loop } = parts;
  const adminServer = await startAdminServer(settings, parts);
  await channels.listen();
  const clientServer =
    settings.role === 'edge'
      ? await startHttpServer(clientApp(edgeHandler), settings.door)
      : undefined;
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['role', settings.role],
      ['listen', settings.listen],
      ['door', settings.door],
    ]),
  );
  return {
    stop: async () => {
      loop.dispatch((at) => ({ kind: 'stopRequested', now: at }));
      const { role } = settings;
      await drainProxy({ ...parts, state: loop.stateMachine.state, role, clientServer, log });
      loop.stop();
      adminServer.stopAccepting();
      channels.close();
    },
  };
};

const wireProxy = (settings: ProxySettings, log: Logger): ProxyParts => {
  const member = memberOf(settings);
  const { node, address, incarnation } = member;
  const channels = new ChannelPool({ node, address, incarnation });
  const cache = new Cache(settings.cache * 1024 * 1024);
  const cacheLookup = new CacheLookup(cache);
  const origins = new StreamingOriginClient();
  const loop: ProxyLoop = startEventLoop<ProxyState, ProxyEvent, HandledEffect>(
    proxyTransition,
    newProxyState(member, settings.seeds, newRandomState()),
    channels,
    log,
    (effect) => runEffect(parts, effect),
    isProcessEffectOfProxy,
  );
  const context: HandlerContext = { now, state: loop.stateMachine.state, dispatch: loop.dispatch };
  const edgeHandler = new EdgeRequestHandler(
    `${node}.${incarnation.toString(36)}`,
    cacheLookup,
    dataChannelsOf(channels),
    context,
  );
  const shieldHandler = new ShieldRequestHandler(
    origins,
    cacheLookup,
    context,
    (instance, reason) =>
      log.write(
        'warn',
        'response failed verification',
        new Map([
          ['instance', instance],
          ['reason', reason],
        ]),
      ),
  );
  acceptDataChannels(channels, shieldHandler);
  const parts = { channels, cache, origins, loop, edgeHandler, shieldHandler };
  return parts;
};

const memberOf = ({ node, role, area, listen, door, admin }: ProxySettings): Member => ({
  node,
  role,
  area,
  address: listen,
  door: role === 'shield' ? listen : door,
  admin,
  incarnation: newIncarnation(),
});

const isProcessEffectOfProxy = (effect: ProxyEffect): effect is ProcessEffect =>
  isProcessEffect(effect);

const acceptDataChannels = (channels: ChannelPool, shieldHandler: ShieldRequestHandler): void => {
  channels.on('dataChannel', (channel) => {
    const handlers = shieldHandler.inbound.accept(channel, now);
    channel.on('frame', (frame: Frame) => handlers.onFrame(frame));
    channel.on('closed', () => handlers.onClosed());
  });
};

const runEffect = (parts: ProxyParts, effect: HandledEffect): void => {
  const { cache, edgeHandler, loop, origins, shieldHandler } = parts;
  switch (effect.kind) {
    case 'compileConfiguration':
      compileConfiguration(effect, loop.dispatch);
      break;
    case 'adoptConfiguration':
      // The handlers read the configuration from the state.
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
      checkHealth(effect, loop);
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

const checkHealth = (
  { address, path, service, instance }: Extract<HandledEffect, { kind: 'checkHealth' }>,
  loop: ProxyLoop,
): void => {
  const startedAt = now();
  void checkOriginHealth(`http://${address}${path}`, service, instance).then((isHealthy) =>
    loop.dispatch((at) => ({
      kind: 'healthChecked',
      now: at,
      service,
      instance,
      isHealthy,
      durationMs: at - startedAt,
    })),
  );
};

const startAdminServer = (settings: ProxySettings, parts: ProxyParts): Promise<HttpServer> => {
  const { state } = parts.loop.stateMachine;
  const app = createAdminApp(
    () => isReady(state().nodeAgent, now()),
    proxyMetrics({ ...parts, state, takeMaxLagMs: parts.loop.takeMaxLagMs }),
    () => proxyView(state()),
  );
  return startHttpServer(app, settings.admin);
};

const clientApp = (edgeHandler: EdgeRequestHandler): Koa => {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx) => {
    await handleClientRequest(edgeHandler, ctx);
  });
  return app;
};
