/** A program that runs in this process. */
export interface Running {
  readonly stop: () => Promise<void>;
}

/** Lets time pass, in milliseconds. */
export const wait = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });
