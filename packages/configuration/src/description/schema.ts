import * as v from 'valibot';
import * as g from '@switchwheel/types';

const whole = (low: number, high: number): v.GenericSchema<number> =>
  v.pipe(
    v.number('a number'),
    v.integer('a whole number'),
    v.minValue(low, `at least ${low}`),
    v.maxValue(high, `at most ${high}`),
  );
const path = v.pipe(
  v.string(),
  v.regex(/^\/[^\s?#]*$/, 'a path that starts with /, without ? or #'),
  v.maxLength(1024, 'at most 1024 signs'),
);
const header = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9!#$%&'*+.^_`|~-]+$/, 'a header name in lower case'),
);
const method = v.picklist(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'], 'a method');

/** What the operator's tools want kept with an item; the fleet does not read it. */
const note = v.optional(v.pipe(v.string(), v.maxLength(65_536, 'at most 65536 signs')));

/** A class of service: what it promises, its share, and who may borrow from it. */
export const group = v.strictObject({
  name: g.className,
  latencyMs: v.optional(whole(1, 600_000)),
  share: v.pipe(v.number('a number'), v.minValue(0, 'at least 0'), v.maxValue(1, 'at most 1')),
  lendsTo: v.optional(v.array(g.className), []),
});
export type Group = v.InferOutput<typeof group>;

/** A service: what stands behind routes. */
export const service = v.strictObject({
  name: g.serviceName,
  perSecond: v.optional(
    v.pipe(
      v.number('a number'),
      v.minValue(0.1, 'at least 0.1'),
      v.maxValue(1_000_000, 'at most 1000000'),
    ),
  ),
  /** Connections that one origin takes from all callers together. */
  connections: v.optional(whole(1, 1_000_000)),
  probe: v.optional(
    v.strictObject({
      path: v.optional(path, '/health'),
      everyMs: v.optional(whole(100, 60_000), 500),
    }),
    {},
  ),
  waitlist: v.optional(whole(0, 100_000), 256),
  hedgeMs: v.optional(whole(5, 60_000)),
  note,
});
export type Service = v.InferOutput<typeof service>;

/** How results of a route may be kept. */
export const keep = v.strictObject({
  lifetimeMs: v.optional(whole(0, 31_536_000_000)),
  vary: v.optional(v.array(header), []),
  query: v.optional(v.boolean(), true),
});

/** One service of a split route. */
export interface Part {
  readonly service: g.ServiceName;
  readonly weight: number;
}
const split: v.GenericSchema<unknown, readonly Part[]> = v.pipe(
  v.array(
    v.strictObject({
      service: g.serviceName,
      weight: v.pipe(
        v.number('a number'),
        v.minValue(0, 'at least 0'),
        v.maxValue(1e9, 'at most 1e9'),
      ),
    }),
  ),
  v.minLength(1, 'at least one service'),
  v.check((list) => list.some((one) => one.weight > 0), 'the weights add up to 0'),
);

/** A route: which requests go to which service, in which class. */
export const route = v.strictObject({
  name: g.routeName,
  host: v.optional(
    v.pipe(v.string(), v.regex(/^[a-z0-9.-]+(?::\d+)?$/, 'a host name in lower case')),
  ),
  path: v.optional(path),
  prefix: v.optional(v.pipe(path, v.endsWith('/', 'a prefix ends in /'))),
  methods: v.optional(v.pipe(v.array(method), v.minLength(1, 'at least one method')), [
    'GET',
    'HEAD',
  ]),
  service: v.optional(g.serviceName),
  /** In place of one service: several, each with its part of the requests. */
  split: v.optional(split),
  class: g.className,
  repeatable: v.optional(v.boolean()),
  timeoutMs: v.optional(whole(10, 600_000), 10_000),
  /** Within which time an answer is worth most. */
  goalMs: v.optional(whole(1, 600_000)),
  /** The largest number of origins that one request may be sent to. */
  origins: v.optional(whole(1, 16)),
  /** 0 goes first when not everything can be served. */
  rank: v.optional(whole(0, 1000)),
  cache: v.optional(keep),
  note,
});
export type Route = v.InferOutput<typeof route>;

/** How a generation is rolled out: shares of nodes a wave, and the gate between waves. */
export const policy = v.strictObject({
  waves: v.optional(
    v.pipe(
      v.array(v.pipe(v.number(), v.minValue(0.01), v.maxValue(1))),
      v.minLength(1),
      v.maxLength(5),
    ),
    [1],
  ),
  gateMs: v.optional(whole(0, 500), 0),
  threshold: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1)), 0.2),
  verifyMs: v.optional(whole(0, 600_000), 10_000),
});
export type Policy = v.InferOutput<typeof policy>;

/** What callers may send, and how long they may take. */
export const limits = v.strictObject({
  headerBytes: v.optional(whole(512, 1_048_576), 16_384),
  bodyBytes: v.optional(whole(0, 1_073_741_824), 1_048_576),
  headerMs: v.optional(whole(100, 600_000), 5000),
  idleMs: v.optional(whole(100, 3_600_000), 10_000),
});
export type Limits = v.InferOutput<typeof limits>;

/** All of a description but its routes. */
export const head = v.strictObject({
  format: v.literal(1, 'the format is 1'),
  classes: v.array(group),
  services: v.array(service),
  rollout: v.optional(policy, {}),
  limits: v.optional(limits, {}),
  note,
});
export type Head = v.InferOutput<typeof head>;
