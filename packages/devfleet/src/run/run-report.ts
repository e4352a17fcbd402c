/** Options and results of the runs of devfleet. */

import type { RequestRecord } from '../load/request-record.js';
import type { RuleResult } from '../report/report.js';

/** Options of a run. */
export interface RunOptions {
  /** Duration of the load. */
  readonly seconds: number;
  /** Factor for the deployment's request rate. */
  readonly loadScale: number;
  /** Folder for data, logs and configuration files. */
  readonly folder: string;
  readonly print: (text: string) => void;
}

/** Result of a run. */
export interface RunReport {
  readonly records: readonly RequestRecord[];
  readonly ruleResults: readonly RuleResult[];
}
