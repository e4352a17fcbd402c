/** The hello with which each side of a channel begins, and the check of the other side's hello. */

import * as v from 'valibot';
import { Encoder } from 'cbor-x';
import { type Result, err, ok } from 'true-myth/result';
import { type Failure, address, failure, incarnation, nodeId } from '@switchwheel/types';
import type { Peer } from './process-event.js';

/** The version of the frames; a peer of another one is refused with both versions named. */
export const protocolVersion = 3;

const helloSchema = v.object({
  switchwheel: v.literal('hello'),
  protocol: v.number(),
  lane: v.picklist(['control', 'data', 'objects']),
  node: nodeId,
  address,
  incarnation,
  /** The sender's monotonic clock; absent in the hello of an older protocol, which is refused by its version. */
  at: v.optional(v.number()),
});
/** The first message of either side of a channel. */
export type Hello = v.InferOutput<typeof helloSchema>;

/**
 * What a channel is for: control frames between any processes, requests from an edge to a service
 * leader, or cached objects between edges.
 */
export type ChannelKind = Hello['lane'];

const cbor = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes the hello of this side; `sentAt` is in milliseconds of the sender's monotonic clock. */
export const encodeHello = (self: Peer, channelKind: ChannelKind, sentAt: number): Uint8Array => {
  const hello: Hello = {
    switchwheel: 'hello',
    protocol: protocolVersion,
    lane: channelKind,
    at: sentAt,
    ...self,
  };
  return cbor.encode(hello);
};

/** Decodes the other side's hello; a `foreign` failure if it is none, or of another version. */
export const decodeHello = (body: Uint8Array): Result<Hello, Failure> => {
  let raw: unknown;
  try {
    raw = cbor.decode(body);
  } catch {
    return err(failure('foreign', 'no hello'));
  }
  const parsed = v.safeParse(helloSchema, raw);
  if (!parsed.success) return err(failure('foreign', 'no hello'));
  const { protocol } = parsed.output;
  if (protocol === protocolVersion) return ok(parsed.output);
  return err(failure('foreign', `protocol ${protocol}, this program speaks ${protocolVersion}`));
};
