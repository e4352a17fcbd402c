/** Frames on data channels between edges and service leaders: forwarded requests and their responses. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { bytes, kind } from './schema-parts.js';

/** Header fields in order, as pairs of lower-case name and value. */
export const headerFields = v.array(v.tuple([v.string(), v.string()]));
/** Value of {@link headerFields}. */
export type HeaderFields = v.InferOutput<typeof headerFields>;

/** Client request that an edge forwards to a service leader. */
export const forwardedRequest = v.object({
  kind: kind('ask'),
  id: types.requestId,
  service: types.serviceName,
  generation: types.generation,
  route: types.routeName,
  group: types.serviceClassName,
  /** Epoch of the leader's lease, as the edge knows it. */
  epoch: types.epoch,
  method: v.string(),
  host: v.string(),
  path: v.string(),
  fields: headerFields,
  body: bytes,
  /** Whether the request is idempotent. */
  repeatable: v.boolean(),
  /** Whether the response may be cached. */
  storable: v.boolean(),
  /** Whether an earlier attempt may have run; the request is then never reported as `rejected`. */
  again: v.boolean(),
  /** Whether an earlier attempt is known to have started, so that this one counts as a retry. */
  extra: v.boolean(),
  /** Time left until the deadline of the request. */
  left: types.durationMs,
  /** Last purge that the edge knows of: the response must not predate it. */
  purged: types.seq,
});
/** Value of {@link forwardedRequest}. */
export type ForwardedRequest = v.InferOutput<typeof forwardedRequest>;

/** Schemas of the forwarded request, the parts of its response, and flow control. */
export const edgeShieldFrames = [
  forwardedRequest,
  /** Status and header fields of a response. */
  v.object({
    kind: kind('result'),
    id: types.requestId,
    status: v.number(),
    fields: headerFields,
    length: v.optional(v.number()),
    age: types.durationMs,
    instance: v.optional(types.instanceId),
    release: v.optional(types.release),
    from: v.picklist(['origin', 'cache']),
    /** Last purge that the leader had applied when it fetched the response. */
    purged: types.seq,
    streamed: v.boolean(),
  }),
  /** Notifies the edge that the first attempt is being sent to an origin. */
  v.object({ kind: kind('begun'), id: types.requestId }),
  /** Part of a response's body. */
  v.object({ kind: kind('chunk'), id: types.requestId, bytes }),
  /** End of a response, with the digest and length of its whole body. */
  v.object({ kind: kind('done'), id: types.requestId, digest: v.string(), length: v.number() }),
  /** Reports that the request failed, in place of a response. */
  v.object({
    kind: kind('reject'),
    id: types.requestId,
    errorKind: v.picklist(types.errorKinds),
    text: v.string(),
    /** Milliseconds after which the request may be retried. */
    retryAfter: v.number(),
    /** Whether this leader is giving up the service, so that the edge should try the next leader. */
    moved: v.boolean(),
  }),
  /** Cancels the request. */
  v.object({ kind: kind('quit'), id: types.requestId }),
  /** Flow control: allows the leader to send this many more bytes of the body. */
  v.object({ kind: kind('credit'), id: types.requestId, bytes: v.number() }),
] as const;
