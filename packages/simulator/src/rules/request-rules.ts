/** Rules of requests over a whole run: how often each ran (R1, R2), what was answered (R3, R7), who never was (R11). */

import { increment } from '@switchwheel/types';
import type { CallerRequest } from '../processes/callers.js';
import type { CallerResult } from '../processes/caller-result.js';
import { cacheLifetimeOf } from '../world/configuration.js';
import type { OperatorWrite } from '../world/world.js';
import type { FinishedRun } from './finished-run.js';
import { propagationLimitMs } from './limits.js';

/** The longest that a route allows: what has waited longer is not answered at all. */
const maxRequestMs = 6500;
/** The part of its lifetime after which a result counts as near its end. */
const nearlyExpired = 0.9;

/** R1, R2: what may not be repeated ran at most once, and what was refused did not run. */
// eslint-disable-next-line complexity -- independent checks in a row
export const checkExecutions = ({ world, callers, violations }: FinishedRun): void => {
  const executionCounts = new Map<string, number>();
  const { coverage } = world;
  for (const description of world.origins)
    for (const execution of description.executions) increment(executionCounts, execution.requestId);
  for (const request of callers.requests) {
    const count = executionCounts.get(request.id) ?? 0;
    if (request.isUnsafe && count > 1)
      violations.add('R1', `${request.id} ${request.path} ran ${count} times`);
    if (count > 1) coverage.record('R3: two legs ran for one request');
    const kind = request.result?.kind;
    if (kind === 'rejected' || kind === 'unready')
      coverage.record('R2: a request was told as refused');
    if (kind === 'unknown' || kind === 'lost' || kind === 'slow')
      coverage.record('R2: a request was told as unknown');
    if ((kind === 'rejected' || kind === 'unready') && count > 0)
      violations.add(
        'R2',
        `${request.id} ${request.path} was told ${kind} (${request.result?.text ?? ''}) and ran ${count} times`,
      );
    if (request.isUnsafe && kind === 'result' && request.result?.status === 200 && count === 0)
      violations.add('R3', `${request.id} was told done and never ran`);
  }
};

/** R3: a result is that of its request, and R7: it is fresh. */
export const checkResults = (run: FinishedRun): void => {
  const { callers, violations } = run;
  const purges = run.world.writes.filter(
    (write) => write.kind === 'purge' && write.reply?.status === 200,
  );
  for (const request of callers.requests) {
    const { result, repliedAt } = request;
    if (request.hasSecondReply) violations.add('R3', `${request.id} was told two results`);
    if (result?.kind !== 'result' || repliedAt === undefined || result.status !== 200) continue;
    if (result.object !== request.path)
      violations.add(
        'R3',
        `${request.id} asked for ${request.path} and got ${result.object === '' ? 'bytes of nothing' : result.object} from ${result.source}`,
      );
    if (isCacheable(request)) checkFreshness(run, request, result, repliedAt, purges);
    else if (result.request !== request.id)
      violations.add('R3', `${request.id} got the result of ${result.request}`);
  }
};

/** Whether a result may be shared by several requests; any other answers this very request. */
const isCacheable = (request: CallerRequest): boolean => request.path.includes('/read/');

/** R7: a result is not older than its lifetime, and not from before a purge, each with some tolerance. */
const checkFreshness = (
  { world: { coverage }, violations }: FinishedRun,
  request: CallerRequest,
  result: CallerResult,
  answeredAt: number,
  purges: readonly OperatorWrite[],
): void => {
  if (result.source === 'edge' || result.source === 'shield')
    coverage.record('R7: a kept result was told');
  if (request.wasEdgeUnreachable)
    coverage.record('R7: an edge out of reach was asked for what it may have kept');
  const description = `${request.id} from ${result.source} at ${request.edge.node}`;
  const lifetimeMs = cacheLifetimeOf(request.service);
  const ageMs = answeredAt - result.createdAt;
  if (ageMs > lifetimeMs + propagationLimitMs)
    violations.add(
      'R7',
      `${description} got ${request.path} ${Math.round(ageMs)} ms after its origin made it`,
    );
  if (ageMs > lifetimeMs * nearlyExpired) coverage.record('R7: a kept result came to its end');
  for (const purge of purges) {
    const purgedAt = purge.reply?.at ?? 0;
    const minRevision = purge.revisions.get(request.path);
    if (
      minRevision !== undefined &&
      result.revision < minRevision &&
      answeredAt > purgedAt + propagationLimitMs
    )
      violations.add(
        'R7',
        `${description}, asked at ${Math.round(request.sentAt)}, got revision ${result.revision} of ${request.path}, ${Math.round(answeredAt - purgedAt)} ms after its purge`,
      );
  }
};

/** R11: nobody waits forever, but for those whose edge was killed or frozen. */
export const checkUnanswered = ({ world, callers, violations }: FinishedRun): void => {
  const { now } = world.eventQueue;
  for (const request of callers.requests) {
    if (
      request.result !== undefined ||
      request.hasDisconnected ||
      now - request.sentAt < maxRequestMs
    )
      continue;
    const ending = request.edge.terminationOf(request.edgeIncarnation);
    if (ending === 'planned')
      violations.add(
        'R11',
        `${request.id} ${request.path} at ${request.edge.node} was dropped silently by a planned stop`,
      );
    else if (ending === 'alive' && !request.edge.isFrozen)
      violations.add(
        'R11',
        `${request.id} ${request.path} at ${request.edge.node} was never told anything`,
      );
  }
};
