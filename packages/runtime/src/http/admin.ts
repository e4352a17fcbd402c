/** Administration endpoints for operators and the platform: liveness, readiness, metrics and process state. */

import Koa from 'koa';
import { type MetricSample, formatMetrics, metricsContentType } from './metrics.js';

const readyStatus = 200;
const notReadyStatus = 503;
const notFoundStatus = 404;

/** Creates the app that serves `/live`, `/ready`, `/metrics` and, if `state` is given, `/state`. */
export const createAdminApp = (
  isReady: () => boolean,
  samples: () => readonly MetricSample[],
  state?: () => object,
): Koa => {
  const app = new Koa();
  app.silent = true;
  app.use((ctx) => {
    switch (ctx.path) {
      case '/live':
        ctx.body = { live: true };
        return;
      case '/ready': {
        const ready = isReady();
        ctx.status = ready ? readyStatus : notReadyStatus;
        ctx.body = { ready };
        return;
      }
      case '/metrics':
        ctx.type = metricsContentType;
        ctx.body = formatMetrics(samples());
        return;
      default:
        if (ctx.path === '/state' && state !== undefined) {
          ctx.body = state();
          return;
        }
        ctx.status = notFoundStatus;
        ctx.body = {
          kind: 'absent',
          text: `live, ready${state === undefined ? ' or metrics' : ', metrics or state'}`,
        };
    }
  });
  return app;
};
