/** Frames of the data channel between an edge and a service leader: forwarded requests and their responses. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { bytes, kind } from './schema-parts.js';

/** Header fields in their order, names in lower case. */
export const headerFields = v.array(v.tuple([v.string(), v.string()]));
/** See {@link headerFields}. */
export type HeaderFields = v.InferOutput<typeof headerFields>;

/** A client's request that an edge forwards to a service leader. */
export const forwardedRequest = v.object({
  kind: kind('ask'),
  id: types.requestId,
  service: types.serviceName,
  generation: types.generation,
  route: types.routeName,
  group: types.serviceClassName,
  epoch: types.epoch,
  method: v.string(),
  host: v.string(),
  path: v.string(),
  fields: headerFields,
  body: bytes,
  /** Whether the request is idempotent. */
  repeatable: v.boolean(),
  storable: v.boolean(),
  /** Whether an earlier attempt of it may have run: then it is never answered as rejected. */
  again: v.boolean(),
  /** Whether an earlier attempt of it is known to have begun: this one counts as a retry. */
  extra: v.boolean(),
  /** Time left until its deadline. */
  left: types.durationMs,
  /** The last purge that the edge knows of: the response must not be older. */
  purged: types.seq,
});
/** See {@link forwardedRequest}. */
export type ForwardedRequest = v.InferOutput<typeof forwardedRequest>;

/** See the module's comment. */
export const edgeShieldFrames = [
  forwardedRequest,
  /** The head of a response. */
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
    purged: types.seq,
    streamed: v.boolean(),
  }),
  /** The first attempt is being sent to an origin. */
  v.object({ kind: kind('begun'), id: types.requestId }),
  /** A part of a response's body. */
  v.object({ kind: kind('chunk'), id: types.requestId, bytes }),
  /** The end of a response, with the digest and length of its whole body. */
  v.object({ kind: kind('done'), id: types.requestId, digest: v.string(), length: v.number() }),
  v.object({
    kind: kind('reject'),
    id: types.requestId,
    errorKind: v.picklist(types.errorKinds),
    text: v.string(),
    /** Milliseconds after which a retry makes sense. */
    retryAfter: v.number(),
    /** Whether this leader gives the service up, so that the edge is to try its next leader. */
    moved: v.boolean(),
  }),
  /** The edge cancels the request. */
  v.object({ kind: kind('quit'), id: types.requestId }),
  /** Flow control: so many more bytes of the body may be sent. */
  v.object({ kind: kind('credit'), id: types.requestId, bytes: v.number() }),
] as const;
