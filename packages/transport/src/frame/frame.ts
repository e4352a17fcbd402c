import * as v from 'valibot';
import { Encoder } from 'cbor-x';
import { type Result, ok, err } from 'true-myth/result';
import { type Failure, failure } from '@switchwheel/types';
import { controlFrames } from './control.js';
import { dataFrames } from './data.js';
import { objectFrames } from './object.js';

const frame = v.variant('kind', [...controlFrames, ...dataFrames, ...objectFrames]);
/** All that processes say to each other. */
export type Frame = v.InferOutput<typeof frame>;
export type FrameOf<K extends Frame['kind']> = Extract<Frame, { kind: K }>;

/** Frames by which edges share objects. */
export type ObjectFrame = FrameOf<'object-request'> | FrameOf<'object'> | FrameOf<'object-status'>;

export const isObjectFrame = (one: Frame): one is ObjectFrame =>
  one.kind === 'object-request' || one.kind === 'object' || one.kind === 'object-status';

const coder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

let last: { readonly value: Frame; readonly bytes: Uint8Array } | undefined;

/** Writes a frame down; one that goes to several peers in a row only once. */
export const serializeFrame = (value: Frame): Uint8Array => {
  if (last?.value !== value) last = { value, bytes: coder.encode(value) };
  return last.bytes;
};

/** Reads a frame; what is not one is told and nothing of it is used. */
export const deserializeFrame = (bytes: Uint8Array): Result<Frame, Failure> => {
  let raw: unknown;
  try {
    raw = coder.decode(bytes);
  } catch {
    return err(failure('foreign', 'not cbor'));
  }
  const read = v.safeParse(frame, raw);
  if (read.success) return ok(read.output);
  const first = read.issues[0];
  return err(failure('foreign', `${v.getDotPath(first) ?? 'frame'}: ${first.message}`));
};
