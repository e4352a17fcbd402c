/**
 * The program of an edge that sends its requests straight to origins (no shield between). This module wires the parts,
 * listens and stops; it decides nothing.
 */

import type { Server } from 'node:http';
import type { Address, NodeId, ZoneName } from '@switchwheel/types';
import {
  ChannelPool,
  type Member,
  type ProcessEffect,
  isObjectFrame,
} from '@switchwheel/transport';
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
import { HttpOriginClient } from './origin-client.js';
import { Readiness } from './readiness.js';
import { startStatusServer } from './status-server.js';

/** The settings of an edge that sends straight to origins. */
export interface EdgeSettings {
  readonly node: NodeId;
  readonly zone: ZoneName;
  /** Where other nodes of the fleet connect. */
  readonly listen: Address;
  readonly seeds: readonly Address[];
  /** Where clients connect. */
  readonly clientAddress: Address;
  /** Where the platform asks whether this edge is ready, and at which path. */
  readonly readiness: { readonly address: Address; readonly path: string };
  /** At which path of the same address the metrics are read. */
  readonly metricsPath: string;
  readonly cacheBytes: number;
  /** The rate of this machine's link in bytes a second; infinite if it is not known. */
  readonly linkBytesPerSecond: number;
  readonly headerNames: HeaderNames;
  readonly limits: EdgeLimits;
  /** How long a graceful shutdown may take in all. */
  readonly stopTimeoutMs: number;
}

/** How often the node agent and the requests in progress are ticked. */
const tickIntervalMs = 30;
const maxActiveRequests = 1024;

type EdgeEffect = Exclude<NodeAgentEffect, ProcessEffect>;
type NodeAgentLoop = EventLoop<NodeAgent, NodeAgentEvent>;

/** The parts of a running edge. */
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

/** Starts an edge that carries the bytes of its requests itself; the promise holds once it listens everywhere. */
export const startEdge = async (settings: EdgeSettings, log: Logger): Promise<RunningProgram> => {
  const parts = wireEdge(settings, log);
  const { channels, listener, loop, readiness, router } = parts;
  const statusServer = await startStatusServer({
    address: settings.readiness.address,
    readinessPath: settings.readiness.path,
    metricsPath: settings.metricsPath,
    isReady: () => readiness.isReady(loop.stateMachine.state()),
    metrics: () => edgeMetrics(loop.stateMachine.state(), router, loop.takeMaxLagMs()),
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
  channels.on('frame', (from, frame) => {
    if (isObjectFrame(frame)) router.handlePeerFrame(from.address, frame);
  });
  const readiness = new Readiness();
  const listener = new ClientListener(router, settings.headerNames, {
    isClosing: () => readiness.isStopping,
  });
  const ticker = new EdgeTicker({ now, nodeAgent, router, channels });
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
  { zone, headerNames, limits, linkBytesPerSecond }: EdgeSettings,
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
  await drainRequests(listener, router, settings.stopTimeoutMs, log);
  statusServer.close();
  statusServer.closeAllConnections();
  loop.stop();
  channels.close();
  if (router.counts.size > 0) log.write('info', 'requests served', new Map(router.counts));
};
