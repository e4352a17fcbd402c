/** How lmdb reports a commit that failed: on promises of its own beside the write's, with the cause on one of them. */

const causeTimeoutMs = 200;

/** An error of the library that carries the promise of its cause. */
type CommitFailure = Error & { readonly commitError: unknown };

/** Whether a rejection is the library's report of a commit that failed. */
export const isCommitFailure = (error: unknown): error is CommitFailure =>
  error instanceof Error && 'commitError' in error;

/** Why a commit failed; the given error itself if it is no such report or its cause stays unknown. */
export const commitFailureCause = async (error: unknown): Promise<unknown> => {
  if (!isCommitFailure(error) || !(error.commitError instanceof Promise)) return error;
  const cause = error.commitError.then(
    () => error,
    (reason: unknown) => reason,
  );
  return Promise.race([
    cause,
    new Promise((resolve) => {
      setTimeout(resolve, causeTimeoutMs, error);
    }),
  ]);
};
