/** What the rules over a whole run are judged from. */

import type { SimulatedCallers } from '../processes/callers.js';
import type { World } from '../world/world.js';
import type { ViolationLog } from './violation-log.js';

/** A run that is over, and where its violations go. */
export interface FinishedRun {
  readonly world: World;
  readonly callers: SimulatedCallers;
  readonly violations: ViolationLog;
  /** Releases that the run made bad on purpose. */
  readonly badReleases: ReadonlySet<string>;
}
