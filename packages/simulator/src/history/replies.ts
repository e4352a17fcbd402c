/** Parsing of the control plane's replies to operators' commands. */

import type { Outcome, Version } from './history.js';

/** Outcome of an operation by the HTTP status of its reply. */
export const outcomeOfStatus = (status: number): Outcome => {
  if (status === 200) return 'acknowledged';
  return status >= 400 && status < 500 ? 'rejected' : 'unknown';
};

/** Reads an integer field of a JSON reply; undefined if it is missing. */
export const numberField = (body: string, name: string): number | undefined => {
  const digits = new RegExp(`"${name}":(\\d+)`).exec(body)?.[1];
  return digits === undefined ? undefined : Number(digits);
};

/** Parses the version that a read returned; undefined if there is none. */
export const parseVersion = (body: string): Version | undefined => {
  const number = numberField(body, 'generation');
  const hash = /"hash":"([0-9a-f]+)"/.exec(body)?.[1];
  return number === undefined || number === 0 || hash === undefined ? undefined : { number, hash };
};
