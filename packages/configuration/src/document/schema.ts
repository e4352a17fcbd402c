/**
 * Schemas of the operators' document. Its field names are part of the user documentation and do not
 * change; nodes run the compiled form.
 */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

const integerBetween = (low: number, high: number): v.GenericSchema<number> =>
  v.pipe(
    v.number('a number'),
    v.integer('a whole number'),
    v.minValue(low, `at least ${low}`),
    v.maxValue(high, `at most ${high}`),
  );
const pathSchema = v.pipe(
  v.string(),
  v.regex(/^\/[^\s?#]*$/, 'a path that starts with /, without ? or #'),
  v.maxLength(1024, 'at most 1024 signs'),
);
const headerName = v.pipe(
  v.string(),
  v.regex(/^[a-z0-9!#$%&'*+.^_`|~-]+$/, 'a header name in lower case'),
);
const httpMethod = v.picklist(
  ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'],
  'a method',
);

/** Free text for the operators' tools; ignored by all nodes. */
const note = v.optional(v.pipe(v.string(), v.maxLength(65_536, 'at most 65536 signs')));

/** A class of service: its latency target, its share of a service's slots, and the classes that may borrow from it. */
export const serviceClass = v.strictObject({
  name: types.serviceClassName,
  latencyMs: v.optional(integerBetween(1, 600_000)),
  share: v.pipe(v.number('a number'), v.minValue(0, 'at least 0'), v.maxValue(1, 'at most 1')),
  lendsTo: v.optional(v.array(types.serviceClassName), []),
});
/** A class of service as parsed from the document, with defaults filled in. */
export type ServiceClass = v.InferOutput<typeof serviceClass>;

/** A service: the origins that routes send requests to, with their limits and health probe. */
export const service = v.strictObject({
  name: types.serviceName,
  perSecond: v.optional(
    v.pipe(
      v.number('a number'),
      v.minValue(0.1, 'at least 0.1'),
      v.maxValue(1_000_000, 'at most 1000000'),
    ),
  ),
  /** Maximum number of connections to one origin, from all nodes together. */
  connections: v.optional(integerBetween(1, 1_000_000)),
  probe: v.optional(
    v.strictObject({
      path: v.optional(pathSchema, '/health'),
      everyMs: v.optional(integerBetween(100, 60_000), 500),
    }),
    {},
  ),
  waitlist: v.optional(integerBetween(0, 100_000), 256),
  hedgeMs: v.optional(integerBetween(5, 60_000)),
  note,
});
/** A service as parsed from the document, with defaults filled in. */
export type Service = v.InferOutput<typeof service>;

/** Cache policy for the responses of a route. */
export const cachePolicy = v.strictObject({
  lifetimeMs: v.optional(integerBetween(0, 31_536_000_000)),
  vary: v.optional(v.array(headerName), []),
  query: v.optional(v.boolean(), true),
});

/** One service of a split route. */
export interface WeightedService {
  readonly service: types.ServiceName;
  readonly weight: number;
}
const trafficSplit: v.GenericSchema<unknown, readonly WeightedService[]> = v.pipe(
  v.array(
    v.strictObject({
      service: types.serviceName,
      weight: v.pipe(
        v.number('a number'),
        v.minValue(0, 'at least 0'),
        v.maxValue(1e9, 'at most 1e9'),
      ),
    }),
  ),
  v.minLength(1, 'at least one service'),
  v.check((list) => list.some((entry) => entry.weight > 0), 'the weights add up to 0'),
);

/** A route: the requests that it matches, and the service and class that they go to. */
export const route = v.strictObject({
  name: types.routeName,
  host: v.optional(
    v.pipe(v.string(), v.regex(/^[a-z0-9.-]+(?::\d+)?$/, 'a host name in lower case')),
  ),
  path: v.optional(pathSchema),
  prefix: v.optional(v.pipe(pathSchema, v.endsWith('/', 'a prefix ends in /'))),
  methods: v.optional(v.pipe(v.array(httpMethod), v.minLength(1, 'at least one method')), [
    'GET',
    'HEAD',
  ]),
  service: v.optional(types.serviceName),
  /** Services with their weights, in place of a single `service`. */
  split: v.optional(trafficSplit),
  class: types.serviceClassName,
  repeatable: v.optional(v.boolean()),
  timeoutMs: v.optional(integerBetween(10, 600_000), 10_000),
  /** Latency target of a response. */
  goalMs: v.optional(integerBetween(1, 600_000)),
  /** Maximum number of origins that one request may be sent to. */
  origins: v.optional(integerBetween(1, 16)),
  /** Priority under overload; 0 is the highest. */
  rank: v.optional(integerBetween(0, 1000)),
  cache: v.optional(cachePolicy),
  note,
});
/** A route as parsed from the document, with defaults filled in. */
export type Route = v.InferOutput<typeof route>;

/** Rollout policy of a generation: the share of nodes that each wave reaches, and the gate time between waves. */
export const rolloutPolicy = v.strictObject({
  waves: v.optional(
    v.pipe(
      v.array(v.pipe(v.number(), v.minValue(0.01), v.maxValue(1))),
      v.minLength(1),
      v.maxLength(5),
    ),
    [1],
  ),
  gateMs: v.optional(integerBetween(0, 500), 0),
  threshold: v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1)), 0.2),
  verifyMs: v.optional(integerBetween(0, 600_000), 10_000),
});
/** Rollout policy of a generation. */
export type RolloutPolicy = v.InferOutput<typeof rolloutPolicy>;

/** Limits on the size and duration of clients' requests. */
export const clientLimits = v.strictObject({
  headerBytes: v.optional(integerBetween(512, 1_048_576), 16_384),
  bodyBytes: v.optional(integerBetween(0, 1_073_741_824), 1_048_576),
  headerMs: v.optional(integerBetween(100, 600_000), 5000),
  idleMs: v.optional(integerBetween(100, 3_600_000), 10_000),
});
/** Limits on clients' requests. */
export type ClientLimits = v.InferOutput<typeof clientLimits>;

/** The document without its routes. */
export const configurationHeader = v.strictObject({
  format: v.literal(1, 'the format is 1'),
  classes: v.array(serviceClass),
  services: v.array(service),
  rollout: v.optional(rolloutPolicy, {}),
  limits: v.optional(clientLimits, {}),
  note,
});
/** The document without its routes. */
export type ConfigurationHeader = v.InferOutput<typeof configurationHeader>;
