/** Notifications of a simulation to its observer. */

import type { Endpoint } from '../schedule/deviation.js';

/** Event or message of a run, beside which a deviation can be placed. */
export interface Occurrence {
  readonly at: number;
  readonly kind: 'message' | 'event';
  readonly machine: number;
  readonly frame?: string;
  readonly from?: Endpoint;
  readonly to?: Endpoint;
}
