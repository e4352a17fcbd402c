/** Schemas of the JSON responses of registries and proxies, limited to the members that the shell reads. */

import * as v from 'valibot';

const looseObject = v.looseObject;
const optionalString = v.nullish(v.string());
const optionalNumber = v.nullish(v.number());

const nodeSchema = looseObject({
  node: v.string(),
  role: v.string(),
  area: v.string(),
  address: v.string(),
  admin: optionalString,
  registry: v.string(),
  open: v.boolean(),
  ageMs: v.number(),
  incarnation: v.number(),
  generation: optionalNumber,
  hash: optionalString,
  phase: optionalString,
  ready: v.nullish(v.boolean()),
  failed: v.nullish(looseObject({ text: v.string() })),
  health: v.nullish(looseObject({ healthy: v.boolean(), text: v.string() })),
});
/** Response to `GET /v1/fleet` of a registry. */
export const fleetSchema = looseObject({
  registry: v.string(),
  fleet: optionalString,
  inTouch: v.boolean(),
  feedAgeMs: optionalNumber,
  epoch: v.number(),
  generation: v.number(),
  purges: looseObject({ top: v.number(), floor: v.number() }),
  electorate: v.nullish(
    looseObject({ serial: v.number(), members: v.array(looseObject({ node: v.string() })) }),
  ),
  voter: looseObject({
    recovering: v.boolean(),
    grants: v.array(
      looseObject({ duty: v.string(), epoch: v.number(), node: v.string(), leftMs: v.number() }),
    ),
  }),
  nodes: v.array(nodeSchema),
  desired: v.array(
    looseObject({ node: v.string(), generation: v.number(), failed: optionalString }),
  ),
  holders: v.array(looseObject({ duty: v.string(), epoch: v.number(), node: v.string() })),
  origins: v.array(
    looseObject({
      service: v.string(),
      instance: v.string(),
      address: v.string(),
      release: v.string(),
      slots: v.number(),
      state: v.string(),
      ageMs: v.number(),
    }),
  ),
});
/** State of the fleet as one registry reports it. */
export type FleetState = v.InferOutput<typeof fleetSchema>;

/** Response to `GET /state` at the admin address of a proxy. */
export const proxySchema = looseObject({
  node: v.string(),
  role: v.string(),
  ready: v.boolean(),
  generation: v.number(),
  purged: v.number(),
  cacheLease: v.boolean(),
  forwarding: v.number(),
  keepers: v.array(
    looseObject({
      service: v.string(),
      epoch: v.number(),
      closing: v.boolean(),
      legs: v.number(),
      typicalMs: v.number(),
      waitlist: v.array(looseObject({ class: v.string(), waiting: v.number() })),
      running: v.array(looseObject({ class: v.string(), running: v.number() })),
      budget: looseObject({ traffic10s: v.number(), extra10s: v.number() }),
      ceilingTokens: optionalNumber,
      origins: v.array(
        looseObject({
          instance: v.string(),
          used: v.number(),
          slots: v.number(),
          up: v.boolean(),
          probe: v.string(),
          typicalMs: v.number(),
          passedOverMs: v.number(),
        }),
      ),
      trials: v.array(
        looseObject({
          release: v.string(),
          state: v.string(),
          used: v.number(),
          granted: v.number(),
          good: v.number(),
          bad: v.number(),
        }),
      ),
      shares: v.nullish(v.array(looseObject({ class: v.string(), share: v.number() }))),
    }),
  ),
});
/** State of a proxy as it reports it. */
export type ProxyState = v.InferOutput<typeof proxySchema>;

/** Responses of the primary store through a registry, by the last segment of the path `/v1/...`. */
export const storedSchemas = {
  rollouts: looseObject({
    rollouts: v.array(
      looseObject({
        generation: v.number(),
        status: v.string(),
        wave: v.number(),
        waves: v.number(),
        troubled: v.boolean(),
        targets: v.array(
          looseObject({ node: v.string(), status: v.string(), wave: v.number(), text: v.string() }),
        ),
      }),
    ),
  }),
  nodes: looseObject({
    nodes: v.array(
      looseObject({
        node: v.string(),
        assigned: v.nullish(looseObject({ generation: v.number() })),
        desired: v.nullish(looseObject({ generation: v.number() })),
        failed: optionalString,
        reported: looseObject({ generation: v.number(), phase: v.string() }),
      }),
    ),
  }),
  purges: looseObject({
    purges: v.array(
      looseObject({ seq: v.number(), aims: v.array(looseObject({ by: v.string() })) }),
    ),
  }),
  verdicts: looseObject({
    verdicts: v.array(
      looseObject({
        service: v.string(),
        release: v.string(),
        state: v.string(),
        spent: v.number(),
        bad: v.number(),
      }),
    ),
  }),
  store: looseObject({
    store: v.string(),
    epoch: v.number(),
    entries: v.number(),
    waitlist: v.number(),
    metadata: v.nullish(
      looseObject({
        inSyncSet: v.array(v.string()),
        stores: v.array(looseObject({ node: v.string() })),
      }),
    ),
  }),
} as const;
/** Stored parts that were collected; undefined for a part that was not requested or not returned. */
export type StoredState = {
  readonly [K in keyof typeof storedSchemas]: v.InferOutput<(typeof storedSchemas)[K]> | undefined;
};
