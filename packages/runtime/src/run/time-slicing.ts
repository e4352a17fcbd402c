/** Long computations as generators, run in slices between other work of the process. */

/** For how long one slice may block the event loop, in milliseconds. */
const sliceMs = 12;

/** Runs a generator to its end, yielding to the event loop after each slice; rejects if it throws. */
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
        reject(error instanceof Error ? error : new Error('slice'));
        return;
      }
      setImmediate(runSlice);
    };
    runSlice();
  });
