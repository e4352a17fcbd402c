/**
 * Failed lmdb commits. Besides the promise of the write, lmdb rejects internal promises, and reports the cause only
 * through one of these.
 */

/** Maximum time to wait for the cause of a failed commit. */
const causeTimeoutMs = 200;

/** Error of lmdb; `commitError` is a promise that is rejected with the cause. */
type CommitFailure = Error & { readonly commitError: unknown };

/** Whether the reason of a rejection is lmdb's error for a failed commit. */
export const isCommitFailure = (error: unknown): error is CommitFailure =>
  error instanceof Error && 'commitError' in error;

/** Resolves with the cause of a failed commit, or with `error` itself if no cause is reported in time. */
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
