/** Union of all frames, and their encoding as CBOR. Framing on the byte stream is in `channel/frame-decoder`. */

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

/** Schemas of all frames. Their keys and literals are the wire protocol, which `frame-schemas.test.ts` checks. */
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

/** Message between two processes. */
export type Frame = v.InferOutput<typeof frame>;
/** Frame of the kind `K`. */
export type FrameOf<K extends Frame['kind']> = Extract<Frame, { kind: K }>;

/** Frame with which edges share cached objects. */
export type ObjectFrame = FrameOf<'object-request'> | FrameOf<'object'> | FrameOf<'object-status'>;

/** Whether a frame is one with which edges share cached objects. */
export const isObjectFrame = (candidate: Frame): candidate is ObjectFrame =>
  candidate.kind === 'object-request' ||
  candidate.kind === 'object' ||
  candidate.kind === 'object-status';

const cbor = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

let lastSerialized: { readonly frame: Frame; readonly bytes: Uint8Array } | undefined;

/** Encodes a frame as CBOR. Caches the last result, because a broadcast sends the same frame to several peers. */
export const serializeFrame = (value: Frame): Uint8Array => {
  if (lastSerialized?.frame !== value) lastSerialized = { frame: value, bytes: cbor.encode(value) };
  return lastSerialized.bytes;
};

/** Decodes and validates a frame; fails as `foreign` with the first validation error. */
export const deserializeFrame = (bytes: Uint8Array): Result<Frame, Failure> => {
  let raw: unknown;
  try {
    raw = cbor.decode(bytes);
  } catch {
    return err(failure('foreign', 'frame is not valid CBOR'));
  }
  const parsed = v.safeParse(frame, raw);
  if (parsed.success) return ok(parsed.output);
  const issue = parsed.issues[0];
  return err(failure('foreign', `${v.getDotPath(issue) ?? 'frame'}: ${issue.message}`));
};
