/** Issues of a document: what is wrong, and where. Their members are part of the HTTP answers. */

import * as v from 'valibot';

/** One thing wrong in a document. */
export interface ValidationIssue {
  /** The place, as a path with dots; `(whole)` for the document itself. */
  readonly path: string;
  readonly text: string;
}
/** Makes an issue. */
export const validationIssue = (path: string, text: string): ValidationIssue => ({ path, text });

/** Parses a value; all issues go to the list, with places below `at`, and the result is then undefined. */
export const parseCollecting = <T>(
  schema: v.GenericSchema<unknown, T>,
  raw: unknown,
  at: string,
  issues: ValidationIssue[],
): T | undefined => {
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  for (const issue of result.issues) {
    const parts = [at, v.getDotPath(issue)].filter((part) => part !== null && part !== '');
    issues.push(validationIssue(parts.join('.') || '(whole)', issue.message));
  }
  return undefined;
};
