/** Delays, polling and bounded concurrency. */

const pollIntervalMs = 25;

/** Resolves after a number of milliseconds. */
export const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Polls a condition; false if it does not hold within the time. A condition that throws counts as false. */
export const waitUntil = async (
  timeoutMs: number,
  condition: () => Promise<boolean>,
): Promise<boolean> => {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await condition().catch(() => false)) return true;
    await delay(pollIntervalMs);
  }
  return false;
};

/** Runs `work` on each item in order, at most `concurrency` at a time. */
export const forEachConcurrently = async <T>(
  items: readonly T[],
  concurrency: number,
  work: (item: T) => Promise<void>,
): Promise<void> => {
  const queue = [...items];
  await Promise.all(
    Array.from({ length: concurrency }, async () => {
      for (let item = queue.shift(); item !== undefined; item = queue.shift()) await work(item);
    }),
  );
};
