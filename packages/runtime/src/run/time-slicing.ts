/** Time slicing of long computations, so that they do not block the event loop. */

/** Maximum time for which a slice blocks the event loop. */
const sliceMs = 12;

/** Runs a generator to completion in slices; resolves with its return value and rejects if it throws. */
export const runTimeSliced = <T>(work: Generator<undefined, T>): Promise<T> =>
  new Promise((resolve, reject) => {
    const runSlice = (): void => {
      const sliceEnd = performance.now() + sliceMs;
      try {
        for (;;) {
          const next = work.next();
          if (next.done === true) {
            resolve(next.value);
            return;
          }
          if (performance.now() > sliceEnd) break;
        }
      } catch (error) {
        reject(
          error instanceof Error
            ? error
            : new Error('time-sliced computation threw a value that is not an Error'),
        );
        return;
      }
      setImmediate(runSlice);
    };
    runSlice();
  });
