/** What a run of the simulation reports to whoever observes it. */

import type { Endpoint } from '../schedule/deviation.js';

/** What happened, for those who choose where to deviate from it. */
export interface Occurrence {
  readonly at: number;
  readonly kind: 'message' | 'event';
  readonly machine: number;
  readonly frame?: string;
  readonly from?: Endpoint;
  readonly to?: Endpoint;
}
