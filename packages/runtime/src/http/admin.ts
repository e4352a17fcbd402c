import Koa from 'koa';

/** One reading for /metrics. */
export interface MetricSample {
  readonly name: string;
  readonly labels: ReadonlyMap<string, string>;
  readonly value: number;
}

const line = (one: MetricSample): string => {
  const labels = [...one.labels].map(([key, value]) => `${key}=${JSON.stringify(value)}`).join(',');
  return `switchwheel_${one.name}${labels === '' ? '' : `{${labels}}`} ${one.value}`;
};

/** The media type of readings as text. */
export const metricsContentType = 'text/plain; version=0.0.4';

/** Readings as scrapers take them. */
export const formatMetrics = (readings: readonly MetricSample[]): string =>
  `${readings.map(line).join('\n')}\n`;
export const metricSample = (name: string, value: number): MetricSample => ({
  name,
  labels: new Map(),
  value,
});

/** A reading with one more label, to tell programs apart that share a process. */
export const withLabel = (one: MetricSample, name: string, value: string): MetricSample => ({
  ...one,
  labels: new Map([...one.labels, [name, value]]),
});

/** The door for whoever runs the machine: live, ready, metrics and the state as it stands. */
export const adminApp = (
  ready: () => boolean,
  readings: () => readonly MetricSample[],
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
        ctx.type = metricsContentType;
        ctx.body = formatMetrics(readings());
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
