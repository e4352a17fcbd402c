/** Reads JSON files that are arguments of commands. */

import { readFileSync } from 'node:fs';
import { type Result, err, ok } from 'true-myth/result';

/** File name that selects standard input. */
const standardInputName = '-';

/** Reads a JSON file, or standard input for `-`; the error is a message for the operator. */
export const readJsonFile = (file: string | undefined): Result<unknown, string> => {
  if (file === undefined) return err('missing argument FILE');
  let text: string;
  try {
    text = readFileSync(file === standardInputName ? 0 : file, 'utf8');
  } catch {
    return err(`cannot read ${file}`);
  }
  try {
    const value: unknown = JSON.parse(text);
    return ok(value);
  } catch (error) {
    return err(
      `${file}: invalid JSON: ${error instanceof Error ? error.message : 'unknown error'}`,
    );
  }
};
