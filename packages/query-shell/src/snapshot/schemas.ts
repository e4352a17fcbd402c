/** The JSON that registries and proxies answer, as far as the shell reads it. Members keep the names of the HTTP API. */

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
/** `GET /v1/fleet` of a registry. */
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
/** The fleet as one registry sees it. */
export type FleetState = v.InferOutput<typeof fleetSchema>;

/** `GET /state` of a proxy's admin address. */
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
/** What one proxy reports of itself. */
export type ProxyState = v.InferOutput<typeof proxySchema>;

/** What the primary store answers through a registry, by the last part of the path `/v1/...`. */
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
/** The stored parts that were collected; a part is undefined if it was not asked for or not answered. */
export type StoredState = {
  readonly [K in keyof typeof storedSchemas]: v.InferOutput<(typeof storedSchemas)[K]> | undefined;
};
