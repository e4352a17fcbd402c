/** Rules of requests, checked at the end of a run: executions (R1, R2), responses (R3, R7), missing replies (R11). */

import { increment } from '@switchwheel/types';
import type { CallerRequest } from '../processes/callers.js';
import type { CallerResult } from '../processes/caller-result.js';
import { cacheLifetimeOf } from '../world/configuration.js';
import type { OperatorWrite } from '../world/world.js';
import type { FinishedRun } from './finished-run.js';
import { propagationLimitMs } from './limits.js';

/** Time after which a request counts as unanswered: above the deadlines of all requests drawn at random. */
const maxRequestMs = 6500;
/** Share of its cache lifetime after which a response counts as nearly expired. */
const nearlyExpiredShare = 0.9;

/** R1, R2: an unsafe request is executed at most once, and a rejected request never. */
// eslint-disable-next-line complexity -- independent checks in a row
export const checkExecutions = ({ world, callers, violations }: FinishedRun): void => {
  const executionCounts = new Map<string, number>();
  const { coverage } = world;
  for (const origin of world.origins)
    for (const execution of origin.executions) increment(executionCounts, execution.requestId);
  for (const request of callers.requests) {
    const count = executionCounts.get(request.id) ?? 0;
    if (request.isUnsafe && count > 1)
      violations.add('R1', `${request.id} ${request.path} was executed ${count} times`);
    if (count > 1) coverage.record('R3: a request was executed by several attempts');
    const kind = request.result?.kind;
    if (kind === 'rejected' || kind === 'unready') coverage.record('R2: a request was rejected');
    if (kind === 'unknown' || kind === 'lost' || kind === 'slow')
      coverage.record('R2: a request ended with an unknown outcome');
    if ((kind === 'rejected' || kind === 'unready') && count > 0)
      violations.add(
        'R2',
        `${request.id} ${request.path} failed as ${kind} (${request.result?.text ?? ''}) and was executed ${count} times`,
      );
    if (request.isUnsafe && kind === 'result' && request.result?.status === 200 && count === 0)
      violations.add('R3', `${request.id} got status 200 and was never executed`);
  }
};

/** R3: a response belongs to its request. R7: it is fresh. */
export const checkResults = (run: FinishedRun): void => {
  const { callers, violations } = run;
  const purges = run.world.writes.filter(
    (write) => write.kind === 'purge' && write.reply?.status === 200,
  );
  for (const request of callers.requests) {
    const { result, repliedAt } = request;
    if (request.hasSecondReply) violations.add('R3', `${request.id} got two replies`);
    if (result?.kind !== 'result' || repliedAt === undefined || result.status !== 200) continue;
    if (result.object !== request.path)
      violations.add(
        'R3',
        `${request.id} requested ${request.path} and got ${result.object === '' ? 'no valid content' : result.object} from ${result.source}`,
      );
    if (isCacheable(request)) checkFreshness(run, request, result, repliedAt, purges);
    else if (result.request !== request.id)
      violations.add('R3', `${request.id} got the response to ${result.request}`);
  }
};

/** Whether a response may be shared by several requests. */
const isCacheable = (request: CallerRequest): boolean => request.path.includes('/read/');

/** R7: a response is neither past its cache lifetime nor from before a purge, with a tolerance of 2.2 s. */
const checkFreshness = (
  { world: { coverage }, violations }: FinishedRun,
  request: CallerRequest,
  result: CallerResult,
  answeredAt: number,
  purges: readonly OperatorWrite[],
): void => {
  if (result.source === 'edge' || result.source === 'shield')
    coverage.record('R7: a cached response was served');
  if (request.wasEdgeUnreachable)
    coverage.record('R7: a disconnected edge got a request for a cacheable object');
  const description = `${request.id} from ${result.source} at ${request.edge.node}`;
  const lifetimeMs = cacheLifetimeOf(request.service);
  const ageMs = answeredAt - result.createdAt;
  if (ageMs > lifetimeMs + propagationLimitMs)
    violations.add(
      'R7',
      `${description} got ${request.path} ${Math.round(ageMs)} ms after its origin created it`,
    );
  if (ageMs > lifetimeMs * nearlyExpiredShare)
    coverage.record('R7: a response was served near the end of its cache lifetime');
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
        `${description}, sent at ${Math.round(request.sentAt)}, got revision ${result.revision} of ${request.path}, ${Math.round(answeredAt - purgedAt)} ms after its purge`,
      );
  }
};

/** R11: every request gets a reply unless its edge was killed or is frozen. */
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
        `${request.id} ${request.path} at ${request.edge.node} was dropped without a reply by a planned stop`,
      );
    else if (ending === 'alive' && !request.edge.isFrozen)
      violations.add(
        'R11',
        `${request.id} ${request.path} at ${request.edge.node} never got a reply`,
      );
  }
};
