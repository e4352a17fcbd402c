/** Metrics in the text format of Prometheus, version 0.0.4. */

const metricPrefix = 'switchwheel_';

/** One sample of a metric; its name is without the common prefix. */
export interface MetricSample {
  readonly name: string;
  readonly labels: ReadonlyMap<string, string>;
  readonly value: number;
}

/** The media type of formatted metrics. */
export const metricsContentType = 'text/plain; version=0.0.4';

const formatSample = (sample: MetricSample): string => {
  const labels = [...sample.labels]
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(',');
  const labelSet = labels === '' ? '' : `{${labels}}`;
  return `${metricPrefix}${sample.name}${labelSet} ${sample.value}`;
};

/** Formats samples for scrapers, one a line. */
export const formatMetrics = (samples: readonly MetricSample[]): string =>
  `${samples.map(formatSample).join('\n')}\n`;

/** A sample without labels. */
export const metricSample = (name: string, value: number): MetricSample => ({
  name,
  labels: new Map(),
  value,
});

/** A sample with one more label, e.g. to tell programs apart that share a process. */
export const withLabel = (sample: MetricSample, name: string, value: string): MetricSample => ({
  ...sample,
  labels: new Map([...sample.labels, [name, value]]),
});
