import type Koa from 'koa';
import { type Address, type ZoneName, type NodeId, totalViolations } from '@switchwheel/types';
import { type ProcessEffect, ChannelPool } from '@switchwheel/transport';
import {
  type ExternalRequest,
  type ClusterProposal,
  type RegistryState,
  type RegistryEffect,
  type RegistryEvent,
  hasMajorityContact,
  newRegistryState,
  registryTransition,
} from '@switchwheel/membership';
import {
  type Logger,
  type RunningProgram,
  isProcessEffect,
  formatMetrics,
  newRandomState,
  newIncarnation,
  now,
  startHttpServer,
  metricSample as plain,
  runEventLoop,
  delay,
} from '@switchwheel/runtime';
import type { SubmitRequest } from './http/app.js';

/** What a registry needs to know of its place. */
export interface RegistrySettings {
  readonly node: NodeId;
  readonly area: ZoneName;
  readonly listen: Address;
  readonly seeds: readonly Address[];
  readonly door: Address;
}

/** What the outside door of a registry is made of. */
export interface RegistryPort {
  readonly submit: SubmitRequest;
  readonly isReady: () => boolean;
  readonly renderMetrics: () => string;
  readonly state: () => RegistryState;
}

/** What a fleet that founds itself gives a registry besides. */
export interface RegistryOptions {
  readonly proposal?: ClusterProposal | undefined;
  /** Whether nodes that run nothing may start on what disks hold. */
  readonly offersDiskHints?: boolean;
  /** How often time is let pass, in milliseconds. */
  readonly tickIntervalMs?: number;
}

interface RegistryResponse {
  readonly status: number;
  readonly body: string;
}

/** A registry that runs in this process. */
export interface RunningRegistry extends RunningProgram {
  /** Tells the primary that this registry's vote is about to go; all else goes on until the stop. */
  readonly leave: () => void;
}

/** Starts a registry; `app` makes its door for origins and operators. */
export const startRegistry = async (
  boot: RegistrySettings,
  log: Logger,
  app: (inside: RegistryPort) => Koa,
  { proposal, offersDiskHints, tickIntervalMs }: RegistryOptions = {},
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
  const waiting = new Map<number, (answer: RegistryResponse) => void>();
  let lastRef = 0;

  type OwnEffect = Exclude<RegistryEffect, ProcessEffect>;
  const run = (effect: OwnEffect): void => {
    waiting.get(effect.correlationId)?.({ status: effect.status, body: effect.body });
    waiting.delete(effect.correlationId);
  };
  const isOwnWire = (effect: RegistryEffect): effect is ProcessEffect => isProcessEffect(effect);
  const loop = runEventLoop<RegistryState, RegistryEvent, OwnEffect>(
    registryTransition,
    newRegistryState(
      member,
      boot.seeds,
      now(),
      newRandomState(),
      proposal,
      offersDiskHints ?? false,
    ),
    yard,
    log,
    run,
    isOwnWire,
    tickIntervalMs,
  );
  const state = loop.machine.state;

  const ask = (call: ExternalRequest): Promise<RegistryResponse> =>
    new Promise((done) => {
      lastRef += 1;
      const ref = lastRef;
      waiting.set(ref, done);
      loop.dispatch((at) => ({
        kind: 'requestReceived',
        now: at,
        correlationId: ref,
        request: call,
      }));
    });

  let worstLag = 0;
  const metrics = (): string => {
    const one = state();
    worstLag = Math.max(worstLag, loop.takeMaxLagMs());
    return formatMetrics([
      plain(
        'sessions',
        [...one.sessions.values()].filter((row) => row.registry === member.node).length,
      ),
      plain('origins', one.origins.size),
      plain('generation', one.feed.current?.generation ?? 0),
      plain('purges_top', one.feed.latestPurge),
      plain('feed_age_ms', one.feed.asOf === undefined ? -1 : Math.round(now() - one.feed.asOf)),
      plain('pieces', one.chunks.size),
      plain('pieces_wanted', one.chunkWaiters.size),
      plain('calls_pending', one.pendingCommands.size),
      plain('invariant_violations_total', totalViolations(one.violations)),
      plain('voter_recovering', one.voter.isRecovering ? 1 : 0),
      plain('loop_lag_worst_ms', worstLag),
      plain('foreign_channels_total', yard.protocolErrorCount),
      plain('memory_bytes', process.memoryUsage.rss()),
    ]);
  };

  const ready = (): boolean => !state().isStopping && hasMajorityContact(state(), now());
  const door = await startHttpServer(
    app({ submit: ask, isReady: ready, renderMetrics: metrics, state }),
    boot.door,
    {
      headersTimeoutMs: 5000,
      requestTimeoutMs: 30_000,
      maxHeaderBytes: 16 * 1024,
    },
  );
  await yard.listen();
  log.write(
    'info',
    'started',
    new Map<string, string>([
      ['listen', boot.listen],
      ['door', boot.door],
    ]),
  );

  const leave = (): void => loop.dispatch((at) => ({ kind: 'stopRequested', now: at }));
  return {
    leave,
    stop: async () => {
      leave();
      door.stopAccepting();
      const until = now() + 4000;
      while (waiting.size > 0 && now() < until) await delay(20);
      loop.stop();
      yard.close();
    },
  };
};
