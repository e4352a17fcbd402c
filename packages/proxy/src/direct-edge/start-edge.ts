import { createServer } from 'node:http';
import {
  type Address,
  type ZoneName,
  type NodeId,
  primaryLease,
  totalViolations,
} from '@switchwheel/types';
import {
  type ProcessEffect,
  ChannelPool,
  isObjectFrame,
  splitAddress,
} from '@switchwheel/transport';
import { buildConfiguration } from '@switchwheel/configuration';
import { type EdgeLimits, EdgeRouter, type HeaderNames } from '@switchwheel/routing';
import {
  type NodeAgent,
  type NodeAgentEffect,
  type NodeAgentEvent,
  Cache,
  nodeAgentTransition,
  newNodeAgent,
} from '@switchwheel/proxy-core';
import {
  type Logger,
  type RunningProgram,
  runTimeSliced,
  isProcessEffect,
  formatMetrics,
  metricsContentType,
  newRandomState,
  newIncarnation,
  now,
  metricSample,
  runEventLoop,
  delay,
} from '@switchwheel/runtime';
import { ClientListener } from './client-listener.js';
import { HttpOriginClient } from './origin-client.js';

/** What an edge that sends straight to origins needs to know. */
export interface EdgeSettings {
  readonly node: NodeId;
  readonly zone: ZoneName;
  readonly listen: Address;
  readonly seeds: readonly Address[];
  readonly clientAddress: Address;
  /** Where the platform asks whether this edge is ready, and at which path. */
  readonly readiness: { readonly address: Address; readonly path: string };
  /** At which path of the same address this edge tells its readings. */
  readonly metricsPath: string;
  readonly cacheBytes: number;
  /** The rate of this machine's link; infinite if it is not known. */
  readonly linkBytesPerSecond: number;
  readonly headerNames: HeaderNames;
  readonly limits: EdgeLimits;
  /** How long a stop may take in all, in milliseconds. */
  readonly stopTimeoutMs: number;
}

/** How long the platform needs to see that an edge is stopping. */
const drainNoticeMs = 2600;
const maxActiveRequests = 1024;
/** How long before the end of a stop what is still under way is broken off, and told so. */
const abortReserveMs = 300;
/** How often counts of releases are told. */
const reportIntervalMs = 250;
/** How often time is let pass, over the control side and over requests under way. */
const tickIntervalMs = 30;

/** Starts an edge that carries the bytes of its requests itself. */
export const startEdge = async (boot: EdgeSettings, log: Logger): Promise<RunningProgram> => {
  const member = {
    node: boot.node,
    role: 'edge' as const,
    area: boot.zone,
    address: boot.listen,
    door: boot.clientAddress,
    incarnation: newIncarnation(),
  };
  const yard = new ChannelPool({
    node: member.node,
    address: member.address,
    incarnation: member.incarnation,
  });
  const cache = new Cache(boot.cacheBytes);
  const legs = new HttpOriginClient(boot.headerNames);
  type OwnEffect = Exclude<NodeAgentEffect, ProcessEffect>;
  const isOwnWire = (effect: NodeAgentEffect): effect is ProcessEffect => isProcessEffect(effect);
  const run = (effect: OwnEffect): void => {
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
        door.applyLimits(effect.compiledConfiguration.header.limits);
        break;
      case 'purgeCache':
        cache.purge(effect.purges, effect.flush, effect.lastPurgeSeq);
        line.onPurged();
        break;
      case 'startLeading':
      case 'stopLeading':
        break;
    }
  };
  const reduce = (
    state: NodeAgent,
    event: NodeAgentEvent,
  ): ReturnType<typeof nodeAgentTransition> => nodeAgentTransition(state, event);
  const loop = runEventLoop<NodeAgent, NodeAgentEvent, OwnEffect>(
    reduce,
    newNodeAgent(member, boot.seeds, newRandomState()),
    yard,
    log,
    run,
    isOwnWire,
    tickIntervalMs,
    () => pass(),
  );
  const cabin = (): NodeAgent => loop.machine.state();
  const line = new EdgeRouter(
    { now, nodeAgent: cabin },
    cache,
    legs,
    {
      zone: boot.zone,
      headerNames: boot.headerNames,
      limits: boot.limits,
      maxActiveRequests: maxActiveRequests,
      peers: { send: (to, frame) => yard.send(to, frame) },
      linkBytesPerSecond: boot.linkBytesPerSecond,
    },
    newRandomState(),
  );
  yard.on('frame', (from, frame) => {
    if (isObjectFrame(frame)) line.handlePeerFrame(from.address, frame);
  });
  let stopping = false;
  const door = new ClientListener(line, boot.headerNames, { isClosing: () => stopping });

  let seen: NodeAgent | undefined;
  let told = now();
  let settled = false;
  const pass = (): void => {
    const one = cabin();
    if (
      one.nodeSession.origins !== seen?.nodeSession.origins ||
      one.nodeSession.members !== seen.nodeSession.members ||
      one.releaseStates !== seen.releaseStates
    )
      line.updateFleet(one);
    seen = one;
    line.tick(now());
    const store = one.nodeSession.holders.get(primaryLease);
    if (store === undefined || now() - told < reportIntervalMs) return;
    told = now();
    for (const word of line.rolloutReports(one)) yard.send(store.address, word);
  };
  // Ready: a description runs, and the fleet's word of the origins has come.
  const ready = (): boolean => {
    const one = cabin();
    settled ||=
      one.compiledConfiguration !== undefined &&
      one.failedUpdate === undefined &&
      one.nodeSession.members.length > 0;
    return settled && one.failedUpdate === undefined && !stopping;
  };
  const metrics = (): string => {
    const one = cabin();
    return formatMetrics([
      metricSample('generation', one.compiledConfiguration?.generation ?? 0),
      metricSample('newest_generation', one.configFreshness.newestGeneration),
      metricSample('invariant_violations_total', totalViolations(one.violations)),
      metricSample('origins', one.nodeSession.origins.size),
      metricSample('requests_open', line.openRequests),
      metricSample('loop_lag_worst_ms', Math.round(loop.takeMaxLagMs())),
      metricSample('memory_bytes', process.memoryUsage.rss()),
      ...[...line.counts].map(([name, value]) => metricSample(`requests_${name}_total`, value)),
    ]);
  };
  const readyServer = createServer({ keepAliveTimeout: 30_000 }, (asked, answer) => {
    if (asked.method === 'GET' && asked.url === boot.metricsPath) {
      answer.writeHead(200, { 'content-type': metricsContentType }).end(metrics());
      return;
    }
    const known = asked.method === 'GET' && asked.url === boot.readiness.path;
    answer.writeHead(!known ? 404 : ready() ? 200 : 503, ['content-length', '0']).end();
  });
  await new Promise<void>((done) => {
    readyServer.listen(splitAddress(boot.readiness.address), done);
  });
  await yard.listen();
  await door.listen(boot.clientAddress);
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', boot.listen],
      ['door', boot.clientAddress],
    ]),
  );

  return {
    stop: async () => {
      const since = now();
      stopping = true;
      loop.dispatch((at) => ({ kind: 'stopRequested', now: at }));
      await delay(Math.min(drainNoticeMs, boot.stopTimeoutMs / 2));
      door.stopAccepting();
      while (
        (door.openRequests > 0 || line.openRequests > 0) &&
        now() - since < boot.stopTimeoutMs - abortReserveMs
      )
        await delay(10);
      if (line.openRequests > 0) {
        log.write(
          'warn',
          'requests are broken off by the stop',
          new Map([['open', line.abortAll()]]),
        );
        await delay(50);
      }
      // In one turn with the last look at what is open: nothing can have been read in between.
      door.closeAllConnections();
      readyServer.close();
      readyServer.closeAllConnections();
      loop.stop();
      yard.close();
      if (line.counts.size > 0) log.write('info', 'served', new Map(line.counts));
    },
  };
};
