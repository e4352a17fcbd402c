/** How long one slice of work may hold the loop, in milliseconds. */
const sliceSpan = 12;

/** Runs sliced work to its end without holding the loop for long. */
export const runTimeSliced = <T>(work: Generator<undefined, T>): Promise<T> =>
  new Promise((done, fail) => {
    const go = (): void => {
      const until = performance.now() + sliceSpan;
      try {
        for (;;) {
          const next = work.next();
          if (next.done === true) {
            done(next.value);
            return;
          }
          if (performance.now() > until) break;
        }
      } catch (problem) {
        fail(problem instanceof Error ? problem : new Error('slice'));
        return;
      }
      setImmediate(go);
    };
    go();
  });
