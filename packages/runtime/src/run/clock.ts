/** The impure sources of a process: its clock, its incarnation and its randomness. */

import { randomBytes } from 'node:crypto';
import {
  type Incarnation,
  type RandomState,
  type Timestamp,
  toIncarnation,
  toTimestamp,
} from '@switchwheel/types';

/** The monotonic clock, which runs on while the process is suspended. */
export const now = (): Timestamp => toTimestamp(Number(process.hrtime.bigint() / 1000n) / 1000);

/** A number for this run of the process, above that of every earlier run (by the wall clock). */
export const newIncarnation = (): Incarnation =>
  toIncarnation(Date.now() * 1000 + (randomBytes(2).readUInt16BE(0) % 1000));

/** A random source with a seed from the operating system. */
export const newRandomState = (): RandomState => ({ seed: randomBytes(4).readUInt32BE(0) });
