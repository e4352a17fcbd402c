/** Handshake of a channel: encoding of this side's hello, and validation of the peer's. */

import * as v from 'valibot';
import { Encoder } from 'cbor-x';
import { type Result, err, ok } from 'true-myth/result';
import { type Failure, address, failure, incarnation, nodeId } from '@switchwheel/types';
import type { Peer } from './process-event.js';

/** Version of the wire protocol; a peer with another version is rejected. */
export const protocolVersion = 3;

const helloSchema = v.object({
  switchwheel: v.literal('hello'),
  protocol: v.number(),
  lane: v.picklist(['control', 'data', 'objects']),
  node: nodeId,
  address,
  incarnation,
  /** Reading of the sender's monotonic clock; optional so that older versions get the version error. */
  at: v.optional(v.number()),
});
/** First message of each side of a channel. */
export type Hello = v.InferOutput<typeof helloSchema>;

/**
 * Purpose of a channel: `control` for frames between any processes, `data` for requests from an edge to a
 * service leader, `objects` for cached objects between edges.
 */
export type ChannelKind = Hello['lane'];

const cbor = new Encoder({ useRecords: false, mapsAsObjects: true });

/** Encodes the hello of this side; `sentAt` is a `performance.now()` reading. */
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

/** Decodes the peer's hello; fails as `foreign` if it is invalid or has another protocol version. */
export const decodeHello = (body: Uint8Array): Result<Hello, Failure> => {
  let raw: unknown;
  try {
    raw = cbor.decode(body);
  } catch {
    return err(failure('foreign', 'first frame is not valid CBOR'));
  }
  const parsed = v.safeParse(helloSchema, raw);
  if (!parsed.success) return err(failure('foreign', 'first frame is not a valid hello'));
  const { protocol } = parsed.output;
  if (protocol === protocolVersion) return ok(parsed.output);
  return err(
    failure('foreign', `peer uses protocol ${protocol}, this program uses ${protocolVersion}`),
  );
};
