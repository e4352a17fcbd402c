/** Metrics in the Prometheus text format, version 0.0.4. */

const metricPrefix = 'switchwheel_';

/** Sample of a metric, with its name without the common prefix. */
export interface MetricSample {
  readonly name: string;
  readonly labels: ReadonlyMap<string, string>;
  readonly value: number;
}

/** Media type of formatted metrics. */
export const metricsContentType = 'text/plain; version=0.0.4';

const formatSample = (sample: MetricSample): string => {
  const labels = [...sample.labels]
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(',');
  const labelSet = labels === '' ? '' : `{${labels}}`;
  return `${metricPrefix}${sample.name}${labelSet} ${sample.value}`;
};

/** Formats samples, one per line. */
export const formatMetrics = (samples: readonly MetricSample[]): string =>
  `${samples.map(formatSample).join('\n')}\n`;

/** Creates a sample without labels. */
export const metricSample = (name: string, value: number): MetricSample => ({
  name,
  labels: new Map(),
  value,
});

/** Returns a sample with a label added, e.g. to distinguish programs that share a process. */
export const withLabel = (sample: MetricSample, name: string, value: string): MetricSample => ({
  ...sample,
  labels: new Map([...sample.labels, [name, value]]),
});
