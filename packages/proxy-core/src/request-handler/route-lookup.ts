/**
 * Route lookup with the running configuration, subject to the limits on stale configurations.
 */

import type { Timestamp } from '@switchwheel/types';
import { type CompiledRoute, matchRoute } from '@switchwheel/configuration';
import { splitTarget } from '../cache/cache-lookup.js';
import { isConfigurationOverdue, knowsAllRoutes } from '../node-agent/configuration-staleness.js';
import { acceptsRequests } from '../node-agent/readiness.js';
import type { NodeAgent } from '../node-agent/state.js';
import { type FailureReply, failureReply } from './failure.js';

/** Time limit for applying a configuration on every node after its confirmation (rule R4). */
const configurationApplyMs = 2000;
/** Suggested retry delays by reason. */
const notReadyRetryAfterMs = 1000;
const overdueRetryAfterMs = 200;
const unknownRouteRetryAfterMs = 300;

/** Properties of a request that select its route. */
export interface RouteQuery {
  readonly method: string;
  readonly host: string;
  /** Path and query as sent by the client. */
  readonly target: string;
}

/** Route of a request, or the error reply to send if there is none. */
export type RouteLookup = { readonly route: CompiledRoute } | { readonly failure: FailureReply };

/** Finds the route of a request. */
export const lookUpRoute = (
  nodeAgent: NodeAgent,
  { method, host, target }: RouteQuery,
  now: Timestamp,
): RouteLookup => {
  const { compiledConfiguration } = nodeAgent;
  if (compiledConfiguration === undefined || !acceptsRequests(nodeAgent, now))
    return { failure: failureReply('unready', 'this node is not ready', notReadyRetryAfterMs) };
  if (isConfigurationOverdue(nodeAgent, now, configurationApplyMs))
    return {
      failure: failureReply(
        'unready',
        'a newer description is on its way here',
        overdueRetryAfterMs,
      ),
    };
  const { path } = splitTarget(target);
  if (!path.startsWith('/'))
    return { failure: failureReply('malformed', 'a path starts with /', 0) };
  const match = matchRoute(compiledConfiguration, method, host, path);
  switch (match.outcome) {
    case 'notFound':
      return knowsAllRoutes(nodeAgent, now)
        ? { failure: failureReply('absent', 'no route', 0) }
        : {
            failure: failureReply(
              'unready',
              'no route is known here yet',
              unknownRouteRetryAfterMs,
            ),
          };
    case 'methodNotAllowed': {
      const reply = failureReply('absent', 'no route for this method', 0);
      return { failure: { ...reply, allowedMethods: match.methods } };
    }
    default:
      return { route: match.route };
  }
};
