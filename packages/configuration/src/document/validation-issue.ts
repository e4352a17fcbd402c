import * as v from 'valibot';

/** One thing wrong in a description, with its place. */
export interface ValidationIssue {
  readonly path: string;
  readonly text: string;
}
export const validationIssue = (path: string, text: string): ValidationIssue => ({ path, text });

/** Reads a value by a schema; all that is wrong with it goes to the list. */
export const parseCollecting = <T>(
  schema: v.GenericSchema<unknown, T>,
  raw: unknown,
  at: string,
  faults: ValidationIssue[],
): T | undefined => {
  const read = v.safeParse(schema, raw);
  if (read.success) return read.output;
  for (const issue of read.issues) {
    const dot = v.getDotPath(issue);
    faults.push(
      validationIssue(
        [at, dot].filter((part) => part !== null && part !== '').join('.') || '(whole)',
        issue.message,
      ),
    );
  }
  return undefined;
};
