/** What faults do to single processes: end, freeze, stop and restart them, and note what that puts to the test. */

import { windowSum } from '@switchwheel/proxy-core';
import { SimulatedProxy } from '../processes/proxy.js';
import { SimulatedStore } from '../processes/store.js';
import type { SimulatedProcess } from '../world/process.js';
import type { FaultContext } from './fault-context.js';

/** Starts a process again after a while. */
export const restartAfter = (
  context: FaultContext,
  target: SimulatedProcess,
  durationMs: number,
): void => context.world.eventQueue.schedule(durationMs, () => target.start());

/** Whether a store holds a write whose operator has no reply yet. */
export const hasUnansweredWrite = ({ world }: FaultContext, store: SimulatedStore): boolean =>
  world.writes.some((write) => write.reply === undefined && store.hasResultOf(write.id));

/** Records which coverage goals losing a process just now reaches. */
const recordLossCoverage = (context: FaultContext, target: SimulatedProcess): void => {
  const { world } = context;
  if (target instanceof SimulatedStore) {
    const isPrimary = world.primary() === target;
    const hasRecentWrite = world.writes.some(
      (write) => write.reply?.status === 200 && world.eventQueue.now - write.reply.at < 1000,
    );
    if (isPrimary && hasRecentWrite)
      world.coverage.record('R4: a primary was lost just after it accepted');
    if (target.writePhase === 'writingToDisk')
      world.coverage.record('a write was cut before its sync');
    if (target.writePhase === 'replicating')
      world.coverage.record('a write was cut between the two disks');
    if (isPrimary && hasUnansweredWrite(context, target))
      world.coverage.record('a write was cut before its answer');
  }
  if (!(target instanceof SimulatedProxy)) return;
  for (const leaderName of target.state?.activeLeaders.values() ?? []) {
    const leader = target.state?.leaders.get(leaderName);
    if (leader === undefined) continue;
    if ([...leader.canaries.values()].some((canary) => canary.state === 'trial'))
      world.coverage.record('R10: a keeper was lost during a trial');
    if (windowSum(leader.recentExtraAttempts, target.clock) > 5)
      world.coverage.record('R8: a keeper was lost with extra legs just sent');
  }
};

/** Kills a process and starts it again after a while. */
export const killFor = (
  context: FaultContext,
  target: SimulatedProcess,
  durationMs: number,
): void => {
  recordLossCoverage(context, target);
  context.log(`kill ${target.node} for ${Math.round(durationMs)}`);
  target.kill();
  restartAfter(context, target, durationMs);
};

/** Freezes a process for a while; its clock goes on. */
export const freezeFor = (
  context: FaultContext,
  target: SimulatedProcess,
  durationMs: number,
): void => {
  recordLossCoverage(context, target);
  context.log(`freeze ${target.node} for ${Math.round(durationMs)}`);
  target.freeze();
  context.world.eventQueue.schedule(durationMs, () => target.resume());
};

/** A planned stop: a warning, then the platform's hard stop six seconds later. */
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
