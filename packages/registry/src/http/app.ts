/** HTTP interface of the registry, for operators, origins and monitoring. */

import Koa from 'koa';
import { type RouteContext, handleRequest } from './routes.js';

/** Creates the HTTP application. Koa's error log is off, since each response contains its error. */
export const createRegistryApp = (registry: RouteContext): Koa => {
  const app = new Koa();
  app.silent = true;
  app.use((ctx) => handleRequest(ctx, registry));
  return app;
};
