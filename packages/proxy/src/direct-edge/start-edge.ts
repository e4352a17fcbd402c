/**
 * Program of an edge that sends requests directly to origins, without shields. This module creates and connects the
 * components, starts the servers and shuts them down.
 */

import type { Server } from 'node:http';
import type { Address, NodeId, ZoneName } from '@switchwheel/types';
import { ChannelPool, type Member, type ProcessEffect } from '@switchwheel/transport';
import { type EdgeLimits, EdgeRouter, type HeaderNames } from '@switchwheel/routing';
import {
  Cache,
  type NodeAgent,
  type NodeAgentEffect,
  type NodeAgentEvent,
  newNodeAgent,
  nodeAgentTransition,
} from '@switchwheel/proxy-core';
import {
  type ByteBudgetLimits,
  type EventLoop,
  type Logger,
  type RunningProgram,
  isProcessEffect,
  newIncarnation,
  newRandomState,
  now,
  startEventLoop,
} from '@switchwheel/runtime';
import { compileConfiguration } from '../node-agent/compile-configuration.js';
import { ClientListener } from './client-listener.js';
import { drainRequests } from './drain.js';
import { edgeMetrics } from './edge-metrics.js';
import { EdgeTicker } from './edge-ticker.js';
import { connectObjectChannels } from './object-channels.js';
import { HttpOriginClient } from './origin-client.js';
import { Readiness } from './readiness.js';
import { startStatusServer } from './status-server.js';

/** Settings of an edge that sends requests directly to origins. */
export interface EdgeSettings {
  readonly node: NodeId;
  readonly zone: ZoneName;
  /** Zones of the edge's region, including its own. */
  readonly regionZones: ReadonlySet<ZoneName>;
  /** Address for connections from other nodes of the fleet. */
  readonly listen: Address;
  readonly seeds: readonly Address[];
  /** Address for connections from clients. */
  readonly clientAddress: Address;
  /** Address and path of the readiness check. */
  readonly readiness: { readonly address: Address; readonly path: string };
  /** Path of the metrics, at the address of the readiness check. */
  readonly metricsPath: string;
  readonly cacheBytes: number;
  /** Memory for the bodies of requests. */
  readonly bodyMemory: ByteBudgetLimits;
  /** Bandwidth of this machine's link in bytes per second; infinite if unknown. */
  readonly linkBytesPerSecond: number;
  readonly headerNames: HeaderNames;
  readonly limits: EdgeLimits;
  /** Maximum total time of a graceful shutdown. */
  readonly stopTimeoutMs: number;
}

/** Tick interval of the node agent and of the requests in progress. */
const tickIntervalMs = 30;
const maxActiveRequests = 1024;

type EdgeEffect = Exclude<NodeAgentEffect, ProcessEffect>;
type NodeAgentLoop = EventLoop<NodeAgent, NodeAgentEvent>;

/** Components of a running edge. */
interface EdgeParts {
  readonly settings: EdgeSettings;
  readonly log: Logger;
  readonly channels: ChannelPool;
  readonly cache: Cache;
  readonly loop: NodeAgentLoop;
  readonly router: EdgeRouter;
  readonly listener: ClientListener;
  readonly readiness: Readiness;
}

/** Starts an edge without shields; resolves once it listens on all addresses. */
export const startEdge = async (settings: EdgeSettings, log: Logger): Promise<RunningProgram> => {
  const parts = wireEdge(settings, log);
  const { channels, listener, loop, readiness, router } = parts;
  const statusServer = await startStatusServer({
    address: settings.readiness.address,
    readinessPath: settings.readiness.path,
    metricsPath: settings.metricsPath,
    isReady: () => readiness.isReady(loop.stateMachine.state()),
    metrics: () => edgeMetrics(loop.stateMachine.state(), router, listener, loop.takeMaxLagMs()),
  });
  await channels.listen();
  await listener.listen(settings.clientAddress);
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', settings.listen],
      ['door', settings.clientAddress],
    ]),
  );
  return { stop: () => stopEdge(parts, statusServer) };
};

const wireEdge = (settings: EdgeSettings, log: Logger): EdgeParts => {
  const member = memberOf(settings);
  const { node, address, incarnation } = member;
  const channels = new ChannelPool({ node, address, incarnation });
  const cache = new Cache(settings.cacheBytes);
  const loop: NodeAgentLoop = startEventLoop<NodeAgent, NodeAgentEvent, EdgeEffect>(
    nodeAgentTransition,
    newNodeAgent(member, settings.seeds, newRandomState()),
    channels,
    log,
    (effect) => runEffect(parts, effect),
    isProcessEffectOfAgent,
    tickIntervalMs,
    () => ticker.tick(),
  );
  const nodeAgent = loop.stateMachine.state;
  const router = newRouter(settings, channels, cache, nodeAgent);
  connectObjectChannels(channels, router);
  const readiness = new Readiness();
  const listener = new ClientListener(router, settings.headerNames, {
    isClosing: () => readiness.isStopping,
    bodyMemory: settings.bodyMemory,
  });
  const ticker = new EdgeTicker({ now, nodeAgent, router, channels, log });
  const parts = { settings, log, channels, cache, loop, router, listener, readiness };
  return parts;
};

const memberOf = ({ node, zone, listen, clientAddress }: EdgeSettings): Member => ({
  node,
  role: 'edge',
  area: zone,
  address: listen,
  door: clientAddress,
  incarnation: newIncarnation(),
});

const isProcessEffectOfAgent = (effect: NodeAgentEffect): effect is ProcessEffect =>
  isProcessEffect(effect);

const newRouter = (
  { zone, regionZones, headerNames, limits, linkBytesPerSecond }: EdgeSettings,
  channels: ChannelPool,
  cache: Cache,
  nodeAgent: () => NodeAgent,
): EdgeRouter =>
  new EdgeRouter(
    { now, nodeAgent },
    cache,
    new HttpOriginClient(headerNames),
    {
      zone,
      regionZones,
      headerNames,
      limits,
      maxActiveRequests,
      peers: { send: (to, frame) => channels.send(to, frame) },
      linkBytesPerSecond,
    },
    newRandomState(),
  );

const runEffect = ({ cache, listener, loop, router }: EdgeParts, effect: EdgeEffect): void => {
  switch (effect.kind) {
    case 'compileConfiguration':
      compileConfiguration(effect, loop.dispatch);
      break;
    case 'adoptConfiguration':
      listener.applyLimits(effect.compiledConfiguration.header.limits);
      break;
    case 'purgeCache':
      cache.purge(effect.purges, effect.flush, effect.lastPurgeSeq);
      router.onPurged();
      break;
    case 'startLeading':
    case 'stopLeading':
      // Only shields lead services.
      break;
  }
};

const stopEdge = async (parts: EdgeParts, statusServer: Server): Promise<void> => {
  const { settings, log, channels, listener, loop, readiness, router } = parts;
  readiness.beginShutdown();
  loop.dispatch((at) => ({ kind: 'stopRequested', now: at }));
  router.stopServingPeers();
  await drainRequests(listener, router, settings.stopTimeoutMs, log);
  statusServer.close();
  statusServer.closeAllConnections();
  loop.stop();
  channels.close();
  if (router.counts.size > 0) log.write('info', 'requests served', new Map(router.counts));
};
