import type Koa from 'koa';
import { type Address, type ZoneName, type NodeId, totalViolations } from '@switchwheel/types';
import { type WireEffect, ChannelPool } from '@switchwheel/transport';
import {
  type Outside,
  type ClusterProposal,
  type Registry,
  type RegistryEffect,
  type RegistryEvent,
  hasMajorityContact,
  newRegistry,
  registryStep,
} from '@switchwheel/membership';
import {
  type Log,
  type Running,
  isWireEffect,
  metricsText,
  newDice,
  newIncarnation,
  now,
  openDoor,
  plainReading as plain,
  runLoop,
  wait,
} from '@switchwheel/runtime';
import type { Ask } from './outside/app.js';

/** What a registry needs to know of its place. */
export interface RegistryBoot {
  readonly node: NodeId;
  readonly area: ZoneName;
  readonly listen: Address;
  readonly seeds: readonly Address[];
  readonly door: Address;
}

/** What the outside door of a registry is made of. */
export interface Inside {
  readonly ask: Ask;
  readonly ready: () => boolean;
  readonly metrics: () => string;
  readonly state: () => Registry;
}

/** What a fleet that founds itself gives a registry besides. */
export interface RegistryWays {
  readonly proposal?: ClusterProposal | undefined;
  /** Whether nodes that run nothing may start on what disks hold. */
  readonly eager?: boolean;
  /** How often time is let pass, in milliseconds. */
  readonly tickMs?: number;
}

interface Answer {
  readonly status: number;
  readonly body: string;
}

/** A registry that runs in this process. */
export interface RunningRegistry extends Running {
  /** Tells the primary that this registry's vote is about to go; all else goes on until the stop. */
  readonly leave: () => void;
}

/** Starts a registry; `app` makes its door for origins and operators. */
export const startRegistry = async (
  boot: RegistryBoot,
  log: Log,
  app: (inside: Inside) => Koa,
  { proposal, eager, tickMs }: RegistryWays = {},
): Promise<RunningRegistry> => {
  const member = {
    node: boot.node,
    role: 'registry' as const,
    area: boot.area,
    address: boot.listen,
    door: boot.door,
    admin: boot.door,
    incarnation: newIncarnation(),
  };
  const yard = new ChannelPool({
    node: member.node,
    address: member.address,
    incarnation: member.incarnation,
  });
  const waiting = new Map<number, (answer: Answer) => void>();
  let lastRef = 0;

  type OwnEffect = Exclude<RegistryEffect, WireEffect>;
  const run = (effect: OwnEffect): void => {
    waiting.get(effect.ref)?.({ status: effect.status, body: effect.body });
    waiting.delete(effect.ref);
  };
  const isOwnWire = (effect: RegistryEffect): effect is WireEffect => isWireEffect(effect);
  const loop = runLoop<Registry, RegistryEvent, OwnEffect>(
    registryStep,
    newRegistry(member, boot.seeds, now(), newDice(), proposal, eager ?? false),
    yard,
    log,
    run,
    isOwnWire,
    tickMs,
  );
  const state = loop.store.state;

  const ask = (call: Outside): Promise<Answer> =>
    new Promise((done) => {
      lastRef += 1;
      const ref = lastRef;
      waiting.set(ref, done);
      loop.tell((at) => ({ kind: 'outside', now: at, ref, call }));
    });

  let worstLag = 0;
  const metrics = (): string => {
    const one = state();
    worstLag = Math.max(worstLag, loop.lag());
    return metricsText([
      plain(
        'sessions',
        [...one.sessions.values()].filter((row) => row.registry === member.node).length,
      ),
      plain('origins', one.origins.size),
      plain('generation', one.feed.current?.generation ?? 0),
      plain('purges_top', one.feed.top),
      plain('feed_age_ms', one.feed.asOf === undefined ? -1 : Math.round(now() - one.feed.asOf)),
      plain('pieces', one.pieces.size),
      plain('pieces_wanted', one.wanted.size),
      plain('calls_pending', one.pending.size),
      plain('invariant_violations_total', totalViolations(one.violations)),
      plain('voter_recovering', one.voter.recovering ? 1 : 0),
      plain('loop_lag_worst_ms', worstLag),
      plain('foreign_channels_total', yard.foreign),
      plain('memory_bytes', process.memoryUsage.rss()),
    ]);
  };

  const ready = (): boolean => !state().stopping && hasMajorityContact(state(), now());
  const door = await openDoor(app({ ask, ready, metrics, state }), boot.door, {
    headersMs: 5000,
    requestMs: 30_000,
    headerBytes: 16 * 1024,
  });
  await yard.listen();
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', boot.listen],
      ['door', boot.door],
    ]),
  );

  const leave = (): void => loop.tell((at) => ({ kind: 'stop', now: at }));
  return {
    leave,
    stop: async () => {
      leave();
      door.shut();
      const until = now() + 4000;
      while (waiting.size > 0 && now() < until) await wait(20);
      loop.end();
      yard.close();
    },
  };
};
