import got from 'got';
import * as v from 'valibot';
import { type Address, isAddress } from '@switchwheel/types';

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
export type FleetState = v.InferOutput<typeof fleetSchema>;

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
export type ProxyState = v.InferOutput<typeof proxySchema>;

const storedSchemas = {
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
export type StoredState = {
  readonly [K in keyof typeof storedSchemas]: v.InferOutput<(typeof storedSchemas)[K]> | undefined;
};

/** All that could be learned of the fleet just now, and who did not answer. */
export interface FleetSnapshot {
  readonly fleets: readonly FleetState[];
  readonly proxies: readonly ProxyState[];
  readonly stored: StoredState;
  /** Processes that were asked and did not answer. */
  readonly unanswered: readonly string[];
  /** Parts that nobody could tell. */
  readonly missing: readonly string[];
  /** How old the oldest word used is, in milliseconds. */
  readonly ageMs: number;
}

const fetchJson = async (address: string, path: string, timeoutMs: number): Promise<unknown> => {
  const reply = await got(`http://${address}${path}`, {
    retry: { limit: 0 },
    throwHttpErrors: false,
    timeout: { request: timeoutMs },
  }).catch(() => undefined);
  if (reply?.statusCode !== 200) return undefined;
  try {
    const raw: unknown = JSON.parse(reply.body);
    return raw;
  } catch {
    return undefined;
  }
};

const parseAs = <T>(schema: v.GenericSchema<unknown, T>, raw: unknown): T | undefined => {
  const parsed = v.safeParse(schema, raw);
  return parsed.success ? parsed.output : undefined;
};

const fetchFirst = async <T>(
  schema: v.GenericSchema<unknown, T>,
  addresses: readonly string[],
  path: string,
  timeoutMs: number,
): Promise<T | undefined> => {
  for (const door of addresses.slice(0, 3)) {
    const found = parseAs(schema, await fetchJson(door, path, timeoutMs));
    if (found !== undefined) return found;
  }
  return undefined;
};

/** Asks every registry that is known, then every proxy, then the primary through a registry that answered. */
export const collectSnapshot = async (
  registries: readonly Address[],
  sources: ReadonlySet<string>,
  timeoutMs: number,
): Promise<FleetSnapshot> => {
  const doors = new Set<string>(registries);
  const asked = new Set<string>();
  const fleets: FleetState[] = [];
  const silent: string[] = [];
  const answering: string[] = [];
  for (;;) {
    const next = [...doors].filter((one) => !asked.has(one));
    if (next.length === 0) break;
    for (const one of next) asked.add(one);
    const words = await Promise.all(
      next.map(async (door) => ({
        door,
        word: parseAs(fleetSchema, await fetchJson(door, '/v1/fleet', timeoutMs)),
      })),
    );
    for (const { door, word } of words) {
      if (word === undefined) silent.push(door);
      else {
        fleets.push(word);
        answering.push(door);
        for (const node of word.nodes)
          if (node.role === 'registry' && isAddress(node.admin)) doors.add(node.admin);
      }
    }
  }
  const known = new Map<string, { readonly admin: string; readonly role: string }>();
  for (const word of fleets)
    for (const node of word.nodes)
      if (isAddress(node.admin)) known.set(node.node, { admin: node.admin, role: node.role });
  const wanted = [...known].filter(
    ([, one]) =>
      (one.role === 'shield' && sources.has('keepers')) ||
      (one.role === 'edge' && sources.has('edges')),
  );
  const proxies: ProxyState[] = [];
  await Promise.all(
    wanted.map(async ([name, one]) => {
      const word = parseAs(proxySchema, await fetchJson(one.admin, '/state', timeoutMs));
      if (word === undefined) silent.push(name);
      else proxies.push(word);
    }),
  );
  const best = [...answering].sort(
    (one, two) => feedAge(fleets, answering, one) - feedAge(fleets, answering, two),
  );
  const storedOf = <T>(
    name: string,
    schema: v.GenericSchema<unknown, T>,
  ): Promise<T | undefined> =>
    sources.has(name)
      ? fetchFirst(schema, best, `/v1/${name}`, timeoutMs)
      : Promise.resolve(undefined);
  const stored: StoredState = {
    rollouts: await storedOf('rollouts', storedSchemas.rollouts),
    nodes: await storedOf('nodes', storedSchemas.nodes),
    purges: await storedOf('purges', storedSchemas.purges),
    verdicts: await storedOf('verdicts', storedSchemas.verdicts),
    store: await storedOf('store', storedSchemas.store),
  };
  const missing = Object.entries(stored)
    .filter(([name, word]) => sources.has(name) && word === undefined)
    .map(([name]) => `${name} (the primary does not answer)`);
  if (fleets.length === 0) missing.push('everything (no registry answers)');
  return {
    fleets,
    proxies: proxies.sort((one, two) => (one.node < two.node ? -1 : 1)),
    stored,
    unanswered: silent.sort(),
    missing,
    ageMs: Math.max(0, ...fleets.map((one) => one.feedAgeMs ?? 0)),
  };
};

const feedAge = (fleets: readonly FleetState[], doors: readonly string[], door: string): number =>
  fleets[doors.indexOf(door)]?.feedAgeMs ?? Infinity;
