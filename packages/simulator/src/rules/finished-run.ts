/** Input of the rules that are checked at the end of a run. */

import type { SimulatedCallers } from '../processes/callers.js';
import type { World } from '../world/world.js';
import type { ViolationLog } from './violation-log.js';

/** A finished run, and the log for its violations. */
export interface FinishedRun {
  readonly world: World;
  readonly callers: SimulatedCallers;
  readonly violations: ViolationLog;
  /** Releases whose origins fail on purpose. */
  readonly badReleases: ReadonlySet<string>;
}
