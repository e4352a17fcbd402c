/** Frames by which edges of an area share the objects that they keep. */
import * as v from 'valibot';
import * as g from '@switchwheel/types';
import { headerFields } from './data.js';

const kind = <K extends string>(name: K): v.LiteralSchema<K, undefined> => v.literal(name);
const bytes = v.custom<Uint8Array>((raw) => raw instanceof Uint8Array, 'bytes');
/** Numbers the requests of one edge's life. */
const requestId = v.pipe(v.number(), v.integer(), v.minValue(1));

export const objectFrames = [
  /** Asks the owner of an object for it. */
  v.object({
    kind: kind('object-request'),
    id: requestId,
    /** The id of the caller's request: the origin echoes it, so an owner that fetches can tell answers apart. */
    callerId: v.string(),
    generation: g.generation,
    route: g.routeName,
    host: v.string(),
    target: v.string(),
    /** The request's fields on which the object may depend. */
    fields: headerFields,
    left: g.durationMs,
  }),
  /** The object, with its age and the last purge that it is known to have outlived. */
  v.object({
    kind: kind('object'),
    id: requestId,
    age: g.durationMs,
    purged: g.seq,
    fields: headerFields,
    body: bytes,
  }),
  /** What becomes of a request for which there is no object yet: it is being fetched, or the asking edge is on its own. */
  v.object({
    kind: kind('object-status'),
    id: requestId,
    state: v.picklist(['fetching', 'refused']),
  }),
] as const;
