/** Frames with which edges share cached objects. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { headerFields } from './edge-shield.js';
import { bytes, kind } from './schema-parts.js';

/** Number of a request, which no earlier process of the requesting edge has used. */
const requestNumber = v.pipe(v.number(), v.integer(), v.minValue(1));

/** Schemas of the request for an object and of the replies to it. */
export const edgeEdgeFrames = [
  /** Requests an object from the edge that owns it. */
  v.object({
    kind: kind('object-request'),
    id: requestNumber,
    /** Id of the client's request, which the owner sends to the origin if it has to fetch the object. */
    callerId: v.string(),
    generation: types.generation,
    route: types.routeName,
    host: v.string(),
    target: v.string(),
    /** Header fields of the request that may select a variant of the object. */
    fields: headerFields,
    /** Time left until the request's deadline. */
    left: types.durationMs,
  }),
  /** Cached object with its age, and the last purge that the owner had applied. */
  v.object({
    kind: kind('object'),
    id: requestNumber,
    age: types.durationMs,
    purged: types.seq,
    fields: headerFields,
    body: bytes,
  }),
  /** Reply without the object: the owner is fetching it, or the requesting edge must fetch it itself. */
  v.object({
    kind: kind('object-status'),
    id: requestNumber,
    state: v.picklist(['fetching', 'refused']),
    /** With `refused`: whether the request was certainly not sent to an origin. */
    unsent: v.optional(v.boolean()),
    /** With `refused` because the owner's share of the rate limit is used up: time until it has a request again. */
    retryAfter: v.optional(types.durationMs),
  }),
] as const;
