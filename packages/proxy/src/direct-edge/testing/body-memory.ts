/** Memory for the bodies of requests, for tests that don't fill it. */

import type { ByteBudgetLimits } from '@switchwheel/runtime';

/** Memory for a few bodies of the largest size. */
export const bodyMemory: ByteBudgetLimits = {
  bodyBytes: 128 * 1024 * 1024,
  smallBodyBytes: 8 * 1024 * 1024,
};
