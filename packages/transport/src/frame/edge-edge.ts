/** Frames by which edges of a zone share the objects that they cache. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';
import { headerFields } from './edge-shield.js';
import { bytes, kind } from './schema-parts.js';

/** Numbers the requests of one edge's incarnation. */
const requestNumber = v.pipe(v.number(), v.integer(), v.minValue(1));

/** See the module's comment. */
export const edgeEdgeFrames = [
  /** Requests an object from the edge that owns it. */
  v.object({
    kind: kind('object-request'),
    id: requestNumber,
    /** The id of the client's request: the origin echoes it, so an owner that fetches can tell responses apart. */
    callerId: v.string(),
    generation: types.generation,
    route: types.routeName,
    host: v.string(),
    target: v.string(),
    /** The request's header fields on which the object may depend. */
    fields: headerFields,
    /** Time left until the request's deadline. */
    left: types.durationMs,
  }),
  /** The object, with its age and the last purge that it is known to have outlived. */
  v.object({
    kind: kind('object'),
    id: requestNumber,
    age: types.durationMs,
    purged: types.seq,
    fields: headerFields,
    body: bytes,
  }),
  /** The state of a request whose object is not there yet: it is being fetched, or the requesting edge must fetch it. */
  v.object({
    kind: kind('object-status'),
    id: requestNumber,
    state: v.picklist(['fetching', 'refused']),
  }),
] as const;
