/** What the runs of devfleet are given and what they give back. */

import type { RequestRecord } from '../load/request-record.js';
import type { RuleResult } from '../report/report.js';

/** How a deployment is run. */
export interface RunOptions {
  /** How long load is sent. */
  readonly seconds: number;
  /** The factor by which the deployment's rate of requests is multiplied. */
  readonly loadScale: number;
  /** Where data, logs and configuration files go. */
  readonly folder: string;
  readonly print: (text: string) => void;
}

/** The outcome of a run. */
export interface RunReport {
  readonly records: readonly RequestRecord[];
  readonly ruleResults: readonly RuleResult[];
}
