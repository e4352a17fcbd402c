const causeMs = 200;

/** Whether a rejection is the library's word of a commit that failed: it comes on promises of its own besides the write's. */
export const isCommitFault = (
  problem: unknown,
): problem is Error & { readonly commitError: unknown } =>
  problem instanceof Error && 'commitError' in problem;

/** Why a commit failed: the library tells it on a promise of its own. */
export const causeOf = async (problem: unknown): Promise<unknown> => {
  if (!isCommitFault(problem) || !(problem.commitError instanceof Promise)) return problem;
  const told = problem.commitError.then(
    () => problem,
    (cause: unknown) => cause,
  );
  return Promise.race([
    told,
    new Promise((done) => {
      setTimeout(done, causeMs, problem);
    }),
  ]);
};
