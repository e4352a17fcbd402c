/** Non-deterministic inputs of a process: its clock, its incarnation and its random seed. */

import { randomBytes } from 'node:crypto';
import {
  type Incarnation,
  type RandomState,
  type Timestamp,
  toIncarnation,
  toTimestamp,
} from '@switchwheel/types';

/** Reads the monotonic clock, which continues while the process is suspended. */
export const now = (): Timestamp => toTimestamp(Number(process.hrtime.bigint() / 1000n) / 1000);

/** Returns a number that is higher than in earlier runs of the process, unless the wall clock was set back. */
export const newIncarnation = (): Incarnation =>
  toIncarnation(Date.now() * 1000 + (randomBytes(2).readUInt16BE(0) % 1000));

/** Returns a random source with a seed from the operating system. */
export const newRandomState = (): RandomState => ({ seed: randomBytes(4).readUInt32BE(0) });
