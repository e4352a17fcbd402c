import Koa from 'koa';

/** One reading for /metrics. */
export interface Reading {
  readonly name: string;
  readonly labels: ReadonlyMap<string, string>;
  readonly value: number;
}

const line = (one: Reading): string => {
  const labels = [...one.labels].map(([key, value]) => `${key}=${JSON.stringify(value)}`).join(',');
  return `switchwheel_${one.name}${labels === '' ? '' : `{${labels}}`} ${one.value}`;
};

/** The media type of readings as text. */
export const metricsType = 'text/plain; version=0.0.4';

/** Readings as scrapers take them. */
export const metricsText = (readings: readonly Reading[]): string =>
  `${readings.map(line).join('\n')}\n`;
export const plainReading = (name: string, value: number): Reading => ({
  name,
  labels: new Map(),
  value,
});

/** A reading with one more label, to tell programs apart that share a process. */
export const withLabel = (one: Reading, name: string, value: string): Reading => ({
  ...one,
  labels: new Map([...one.labels, [name, value]]),
});

/** The door for whoever runs the machine: live, ready, metrics and the state as it stands. */
export const adminApp = (
  ready: () => boolean,
  readings: () => readonly Reading[],
  state?: () => object,
): Koa => {
  const app = new Koa();
  app.silent = true;
  app.use((ctx) => {
    switch (ctx.path) {
      case '/live':
        ctx.body = { live: true };
        return;
      case '/ready':
        ctx.status = ready() ? 200 : 503;
        ctx.body = { ready: ctx.status === 200 };
        return;
      case '/metrics':
        ctx.type = metricsType;
        ctx.body = metricsText(readings());
        return;
      default:
        if (ctx.path === '/state' && state !== undefined) {
          ctx.body = state();
          return;
        }
        ctx.status = 404;
        ctx.body = {
          kind: 'absent',
          text: `live, ready${state === undefined ? ' or metrics' : ', metrics or state'}`,
        };
    }
  });
  return app;
};
