/** A program that runs in this process. */
export interface RunningProgram {
  readonly stop: () => Promise<void>;
}

/** Lets time pass, in milliseconds. */
export const delay = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });
