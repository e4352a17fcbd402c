import { randomBytes } from 'node:crypto';
import {
  type RandomState,
  type Incarnation,
  type Timestamp,
  toIncarnation,
  toTimestamp,
} from '@switchwheel/types';

/** The clock that never goes back and runs on while the process is stopped. */
export const now = (): Timestamp => toTimestamp(Number(process.hrtime.bigint() / 1000n) / 1000);

/** A number for this run of the process, above that of any run before it. */
export const newIncarnation = (): Incarnation =>
  toIncarnation(Date.now() * 1000 + (randomBytes(2).readUInt16BE(0) % 1000));

export const newRandomState = (): RandomState => ({ seed: randomBytes(4).readUInt32BE(0) });
