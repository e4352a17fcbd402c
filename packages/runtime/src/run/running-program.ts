/** Interface of programs that run in this process, and a timer. */

/** Program that runs in this process. */
export interface RunningProgram {
  /** Stops the program gracefully; resolves when it has stopped completely. */
  readonly stop: () => Promise<void>;
}

/** Resolves after a time in milliseconds. */
export const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
