import { createServer } from 'node:http';
import {
  type Address,
  type ZoneName,
  type NodeId,
  primaryLease,
  totalViolations,
} from '@switchwheel/types';
import { type WireEffect, ChannelPool, isObjectFrame, splitAddress } from '@switchwheel/transport';
import { build } from '@switchwheel/configuration';
import { type Bounds, DirectLine, type Words } from '@switchwheel/routing';
import {
  type Cabin,
  type CabinEffect,
  type CabinEvent,
  Cache,
  cabinStep,
  newCabin,
} from '@switchwheel/proxy-core';
import {
  type Log,
  type Running,
  inSlices,
  isWireEffect,
  metricsText,
  metricsType,
  newDice,
  newIncarnation,
  now,
  plainReading,
  runLoop,
  wait,
} from '@switchwheel/runtime';
import { DirectDoor } from './door.js';
import { Origins } from './leg.js';

/** What an edge that sends straight to origins needs to know. */
export interface DirectBoot {
  readonly node: NodeId;
  readonly area: ZoneName;
  readonly listen: Address;
  readonly seeds: readonly Address[];
  readonly door: Address;
  /** Where the platform asks whether this edge is ready, and at which path. */
  readonly ready: { readonly address: Address; readonly path: string };
  /** At which path of the same address this edge tells its readings. */
  readonly metricsPath: string;
  readonly cacheBytes: number;
  /** The rate of this machine's link; infinite if it is not known. */
  readonly linkBytesPerSecond: number;
  readonly words: Words;
  readonly bounds: Bounds;
  /** How long a stop may take in all, in milliseconds. */
  readonly stopMs: number;
}

/** How long the platform needs to see that an edge is stopping. */
const noticeMs = 2600;
const mostOpen = 1024;
/** How long before the end of a stop what is still under way is broken off, and told so. */
const cutMs = 300;
/** How often counts of releases are told. */
const tellMs = 250;
/** How often time is let pass, over the control side and over requests under way. */
const tickMs = 30;

/** Starts an edge that carries the bytes of its requests itself. */
export const startDirect = async (boot: DirectBoot, log: Log): Promise<Running> => {
  const member = {
    node: boot.node,
    role: 'edge' as const,
    area: boot.area,
    address: boot.listen,
    door: boot.door,
    incarnation: newIncarnation(),
  };
  const yard = new ChannelPool({
    node: member.node,
    address: member.address,
    incarnation: member.incarnation,
  });
  const cache = new Cache(boot.cacheBytes);
  const legs = new Origins(boot.words);
  type OwnEffect = Exclude<CabinEffect, WireEffect>;
  const isOwnWire = (effect: CabinEffect): effect is WireEffect => isWireEffect(effect);
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
        door.hold(effect.table.head.limits);
        break;
      case 'purge':
        cache.purge(effect.purges, effect.flush, effect.top);
        line.purged();
        break;
      case 'kept':
      case 'unkept':
        break;
    }
  };
  const reduce = (state: Cabin, event: CabinEvent): ReturnType<typeof cabinStep> =>
    cabinStep(state, event);
  const loop = runLoop<Cabin, CabinEvent, OwnEffect>(
    reduce,
    newCabin(member, boot.seeds, newDice()),
    yard,
    log,
    run,
    isOwnWire,
    tickMs,
    () => pass(),
  );
  const cabin = (): Cabin => loop.store.state();
  const line = new DirectLine(
    { now, cabin },
    cache,
    legs,
    {
      area: boot.area,
      words: boot.words,
      bounds: boot.bounds,
      most: mostOpen,
      peers: { send: (to, frame) => yard.send(to, frame) },
      linkBytesPerSecond: boot.linkBytesPerSecond,
    },
    newDice(),
  );
  yard.on('frame', (from, frame) => {
    if (isObjectFrame(frame)) line.hearPeer(from.address, frame);
  });
  let stopping = false;
  const door = new DirectDoor(line, boot.words, { closing: () => stopping });

  let seen: Cabin | undefined;
  let told = now();
  let settled = false;
  const pass = (): void => {
    const one = cabin();
    if (
      one.nodeSession.origins !== seen?.nodeSession.origins ||
      one.nodeSession.members !== seen.nodeSession.members ||
      one.releases !== seen.releases
    )
      line.learn(one);
    seen = one;
    line.tick(now());
    const store = one.nodeSession.holders.get(primaryLease);
    if (store === undefined || now() - told < tellMs) return;
    told = now();
    for (const word of line.tell(one)) yard.send(store.address, word);
  };
  // Ready: a description runs, and the fleet's word of the origins has come.
  const ready = (): boolean => {
    const one = cabin();
    settled ||=
      one.table !== undefined && one.failed === undefined && one.nodeSession.members.length > 0;
    return settled && one.failed === undefined && !stopping;
  };
  const metrics = (): string => {
    const one = cabin();
    return metricsText([
      plainReading('generation', one.table?.generation ?? 0),
      plainReading('newest_generation', one.newest.generation),
      plainReading('invariant_violations_total', totalViolations(one.violations)),
      plainReading('origins', one.nodeSession.origins.size),
      plainReading('requests_open', line.open),
      plainReading('loop_lag_worst_ms', Math.round(loop.lag())),
      plainReading('memory_bytes', process.memoryUsage.rss()),
      ...[...line.counts].map(([name, value]) => plainReading(`requests_${name}_total`, value)),
    ]);
  };
  const readyServer = createServer({ keepAliveTimeout: 30_000 }, (asked, answer) => {
    if (asked.method === 'GET' && asked.url === boot.metricsPath) {
      answer.writeHead(200, { 'content-type': metricsType }).end(metrics());
      return;
    }
    const known = asked.method === 'GET' && asked.url === boot.ready.path;
    answer.writeHead(!known ? 404 : ready() ? 200 : 503, ['content-length', '0']).end();
  });
  await new Promise<void>((done) => {
    readyServer.listen(splitAddress(boot.ready.address), done);
  });
  await yard.listen();
  await door.listen(boot.door);
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', boot.listen],
      ['door', boot.door],
    ]),
  );

  return {
    stop: async () => {
      const since = now();
      stopping = true;
      loop.tell((at) => ({ kind: 'stop', now: at }));
      await wait(Math.min(noticeMs, boot.stopMs / 2));
      door.shut();
      while ((door.open > 0 || line.open > 0) && now() - since < boot.stopMs - cutMs)
        await wait(10);
      if (line.open > 0) {
        log.write(
          'warn',
          'requests are broken off by the stop',
          new Map([['open', line.breakAll()]]),
        );
        await wait(50);
      }
      // In one turn with the last look at what is open: nothing can have been read in between.
      door.hang();
      readyServer.close();
      readyServer.closeAllConnections();
      loop.end();
      yard.close();
      if (line.counts.size > 0) log.write('info', 'served', new Map(line.counts));
    },
  };
};
