import * as v from 'valibot';
import * as g from '@switchwheel/types';

const kind = <K extends string>(name: K): v.LiteralSchema<K, undefined> => v.literal(name);
const bytes = v.custom<Uint8Array>((raw) => raw instanceof Uint8Array, 'bytes');

/** Header fields in their order, names in lower case. */
export const headerFields = v.array(v.tuple([v.string(), v.string()]));
export type HeaderFields = v.InferOutput<typeof headerFields>;

/** A request on its way from an edge to a keeper. */
export const forwardedRequest = v.object({
  kind: kind('ask'),
  id: g.requestId,
  service: g.serviceName,
  generation: g.generation,
  route: g.routeName,
  group: g.className,
  epoch: g.epoch,
  method: v.string(),
  host: v.string(),
  path: v.string(),
  fields: headerFields,
  body: bytes,
  repeatable: v.boolean(),
  storable: v.boolean(),
  /** Whether an earlier leg of it may have run: then it is never told as refused. */
  again: v.boolean(),
  /** Whether an earlier leg of it is known to have begun: this one counts as extra. */
  extra: v.boolean(),
  left: g.durationMs,
  /** The last purge the asking edge heard: nothing older may be told it. */
  purged: g.seq,
});
export type ForwardedRequest = v.InferOutput<typeof forwardedRequest>;

export const dataFrames = [
  forwardedRequest,
  v.object({
    kind: kind('result'),
    id: g.requestId,
    status: v.number(),
    fields: headerFields,
    length: v.optional(v.number()),
    age: g.durationMs,
    instance: v.optional(g.instanceId),
    release: v.optional(g.release),
    from: v.picklist(['origin', 'cache']),
    purged: g.seq,
    streamed: v.boolean(),
  }),
  /** The first leg of it goes out now. */
  v.object({ kind: kind('begun'), id: g.requestId }),
  v.object({ kind: kind('chunk'), id: g.requestId, bytes }),
  v.object({ kind: kind('done'), id: g.requestId, digest: v.string(), length: v.number() }),
  v.object({
    kind: kind('reject'),
    id: g.requestId,
    errorKind: v.picklist(g.errorKinds),
    text: v.string(),
    retryAfter: v.number(),
    moved: v.boolean(),
  }),
  v.object({ kind: kind('quit'), id: g.requestId }),
  v.object({ kind: kind('credit'), id: g.requestId, bytes: v.number() }),
] as const;
