/** What is common to programs that run inside this process. */

/** A program that runs in this process. */
export interface RunningProgram {
  /** Stops it in order; settles when everything of it has ended. */
  readonly stop: () => Promise<void>;
}

/** Settles after a time in milliseconds. */
export const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
