/** Actions of faults on single processes: kill, freeze, stop and restart, with coverage records. */

import { windowSum } from '@switchwheel/proxy-core';
import { SimulatedProxy } from '../processes/proxy.js';
import { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import type { FaultContext } from './fault-context.js';

/** Restarts a process after a delay. */
export const restartAfter = (
  context: FaultContext,
  target: SimulatedProcess,
  durationMs: number,
): void => context.world.eventQueue.schedule(durationMs, () => target.start());

/** Whether a store holds a write whose operator has no reply yet. */
export const hasUnansweredWrite = ({ world }: FaultContext, store: SimulatedStore): boolean =>
  world.writes.some((write) => write.reply === undefined && store.hasResultOf(write.id));

/** Records the coverage goals that are met by losing a process now. */
const recordLossCoverage = (context: FaultContext, target: SimulatedProcess): void => {
  const { world } = context;
  if (target instanceof SimulatedStore) {
    const isPrimary = world.primary() === target;
    const hasRecentWrite = world.writes.some(
      (write) => write.reply?.status === 200 && world.eventQueue.now - write.reply.at < 1000,
    );
    if (isPrimary && hasRecentWrite)
      world.coverage.record('R4: a primary was lost just after accepting a write');
    if (target.writePhase === 'writingToDisk')
      world.coverage.record('a primary was lost before it synced a write');
    if (target.writePhase === 'replicating')
      world.coverage.record('a primary was lost while replicating a write');
    if (isPrimary && hasUnansweredWrite(context, target))
      world.coverage.record('a primary was lost before replying to a write');
  }
  if (!(target instanceof SimulatedProxy)) return;
  for (const leaderName of target.state?.activeLeaders.values() ?? []) {
    const leader = target.state?.leaders.get(leaderName);
    if (leader === undefined) continue;
    if ([...leader.canaries.values()].some((canary) => canary.state === 'trial'))
      world.coverage.record('R10: a service leader was lost during a canary');
    if (windowSum(leader.recentExtraAttempts, target.clock) > 5)
      world.coverage.record('R8: a service leader was lost just after sending extra attempts');
  }
};

/** Kills a process and restarts it after a delay. */
export const killFor = (
  context: FaultContext,
  target: SimulatedProcess,
  durationMs: number,
): void => {
  recordLossCoverage(context, target);
  context.log(`kill ${target.node} for ${Math.round(durationMs)} ms`);
  target.kill();
  restartAfter(context, target, durationMs);
};

/** Freezes a process for a while; its clock keeps running. */
export const freezeFor = (
  context: FaultContext,
  target: SimulatedProcess,
  durationMs: number,
): void => {
  recordLossCoverage(context, target);
  context.log(`freeze ${target.node} for ${Math.round(durationMs)} ms`);
  target.freeze();
  context.world.eventQueue.schedule(durationMs, () => target.resume());
};

/** Stops a proxy gracefully and restarts it; the platform kills it if it still runs after 6 s. */
export const stopProxy = (context: FaultContext, proxy: SimulatedProxy): void => {
  if (!proxy.isAlive || proxy.isFrozen) return;
  context.log(`stop ${proxy.node}`);
  const { eventQueue } = context.world;
  const { incarnationNumber } = proxy;
  proxy.stop(() => eventQueue.schedule(200, () => proxy.start()));
  eventQueue.schedule(6000, () => {
    if (!proxy.isAlive || proxy.incarnationNumber !== incarnationNumber) return;
    proxy.kill();
    eventQueue.schedule(200, () => proxy.start());
  });
};
