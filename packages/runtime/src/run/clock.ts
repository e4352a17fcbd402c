import { randomBytes } from 'node:crypto';
import {
  type Dice,
  type Incarnation,
  type Moment,
  toIncarnation,
  toMoment,
} from '@switchwheel/types';

/** The clock that never goes back and runs on while the process is stopped. */
export const now = (): Moment => toMoment(Number(process.hrtime.bigint() / 1000n) / 1000);

/** A number for this run of the process, above that of any run before it. */
export const newIncarnation = (): Incarnation =>
  toIncarnation(Date.now() * 1000 + (randomBytes(2).readUInt16BE(0) % 1000));

export const newDice = (): Dice => ({ seed: randomBytes(4).readUInt32BE(0) });
