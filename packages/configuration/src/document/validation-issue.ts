/** Validation issues of a document. They are part of HTTP response bodies. */

import * as v from 'valibot';

/** A validation issue with its place in the document. */
export interface ValidationIssue {
  /** Dotted path of the value; `(whole)` for the document itself. */
  readonly path: string;
  readonly text: string;
}
/** Builds a validation issue. */
export const validationIssue = (path: string, text: string): ValidationIssue => ({ path, text });

/** Parses a value. If it is invalid, adds all issues to the list, with paths below `parentPath`, and returns undefined. */
export const parseCollecting = <T>(
  schema: v.GenericSchema<unknown, T>,
  raw: unknown,
  parentPath: string,
  issues: ValidationIssue[],
): T | undefined => {
  const result = v.safeParse(schema, raw);
  if (result.success) return result.output;
  for (const issue of result.issues) {
    const parts = [parentPath, v.getDotPath(issue)].filter((part) => part !== null && part !== '');
    issues.push(validationIssue(parts.join('.') || '(whole)', issue.message));
  }
  return undefined;
};
