/** All frames as one union, and their encoding as CBOR. Framing on the stream is `channel/frame-decoder`. */

import * as v from 'valibot';
import { Encoder } from 'cbor-x';
import { type Result, ok, err } from 'true-myth/result';
import { type Failure, failure } from '@switchwheel/types';
import { chunkFrames } from './chunk.js';
import { edgeEdgeFrames } from './edge-edge.js';
import { edgeShieldFrames } from './edge-shield.js';
import { leaseFrames } from './lease.js';
import { nodeRegistryFrames } from './node-registry.js';
import { registryRegistryFrames } from './registry-registry.js';
import { rolloutFrames } from './rollout.js';
import { storeRegistryFrames } from './store-registry.js';
import { storeStoreFrames } from './store-store.js';

/** The schemas of all frames. Their keys and literals are the protocol: see `frame-schemas.test.ts`. */
export const frameSchemas = [
  ...nodeRegistryFrames,
  ...registryRegistryFrames,
  ...leaseFrames,
  ...storeStoreFrames,
  ...storeRegistryFrames,
  ...chunkFrames,
  ...rolloutFrames,
  ...edgeShieldFrames,
  ...edgeEdgeFrames,
] as const;

const frame = v.variant('kind', frameSchemas);

/** Any message between two processes. */
export type Frame = v.InferOutput<typeof frame>;
/** The frames of one kind. */
export type FrameOf<K extends Frame['kind']> = Extract<Frame, { kind: K }>;

/** Frames by which edges share objects. */
export type ObjectFrame = FrameOf<'object-request'> | FrameOf<'object'> | FrameOf<'object-status'>;

/** Whether a frame is one by which edges share objects. */
export const isObjectFrame = (candidate: Frame): candidate is ObjectFrame =>
  candidate.kind === 'object-request' ||
  candidate.kind === 'object' ||
  candidate.kind === 'object-status';

const cbor = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

let lastSerialized: { readonly frame: Frame; readonly bytes: Uint8Array } | undefined;

/** Encodes a frame as CBOR. The last result is kept, as a broadcast sends one frame to several peers in a row. */
export const serializeFrame = (value: Frame): Uint8Array => {
  if (lastSerialized?.frame !== value) lastSerialized = { frame: value, bytes: cbor.encode(value) };
  return lastSerialized.bytes;
};

/** Decodes and validates a frame; a `foreign` failure names the first thing that is wrong. */
export const deserializeFrame = (bytes: Uint8Array): Result<Frame, Failure> => {
  let raw: unknown;
  try {
    raw = cbor.decode(bytes);
  } catch {
    return err(failure('foreign', 'not cbor'));
  }
  const parsed = v.safeParse(frame, raw);
  if (parsed.success) return ok(parsed.output);
  const issue = parsed.issues[0];
  return err(failure('foreign', `${v.getDotPath(issue) ?? 'frame'}: ${issue.message}`));
};
