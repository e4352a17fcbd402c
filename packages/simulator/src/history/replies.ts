/** What the replies of the control side to operators' commands say, as far as runs are judged by it. */

import type { Outcome, Version } from './history.js';

/** How a status of the control side ends an operation for its caller. */
export const outcomeOfStatus = (status: number): Outcome => {
  if (status === 200) return 'acknowledged';
  return status >= 400 && status < 500 ? 'refused' : 'unknown';
};

/** A field of a reply's JSON that is a whole number; undefined if it is not there. */
export const numberField = (body: string, name: string): number | undefined => {
  const digits = new RegExp(`"${name}":(\\d+)`).exec(body)?.[1];
  return digits === undefined ? undefined : Number(digits);
};

/** The configuration that a read returned; undefined if there is none. */
export const parseVersion = (body: string): Version | undefined => {
  const number = numberField(body, 'generation');
  const hash = /"hash":"([0-9a-f]+)"/.exec(body)?.[1];
  return number === undefined || number === 0 || hash === undefined ? undefined : { number, hash };
};
