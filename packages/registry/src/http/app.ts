/** The registry's HTTP interface, for operators, origins and whoever monitors the machine. */

import Koa from 'koa';
import { type RouteContext, handleRequest } from './routes.js';

/** Makes the HTTP application; it is silent, as every answer bears its error. */
export const createRegistryApp = (registry: RouteContext): Koa => {
  const app = new Koa();
  app.silent = true;
  app.use((ctx) => handleRequest(ctx, registry));
  return app;
};
