import got from 'got';
import * as v from 'valibot';
import { type Address, isAddress } from '@switchwheel/types';

const loose = v.looseObject;
const text = v.nullish(v.string());
const number = v.nullish(v.number());

const nodeForm = loose({
  node: v.string(),
  role: v.string(),
  area: v.string(),
  address: v.string(),
  admin: text,
  registry: v.string(),
  open: v.boolean(),
  ageMs: v.number(),
  incarnation: v.number(),
  generation: number,
  hash: text,
  phase: text,
  ready: v.nullish(v.boolean()),
  failed: v.nullish(loose({ text: v.string() })),
  health: v.nullish(loose({ healthy: v.boolean(), text: v.string() })),
});
export const fleetForm = loose({
  registry: v.string(),
  fleet: text,
  inTouch: v.boolean(),
  feedAgeMs: number,
  epoch: v.number(),
  generation: v.number(),
  purges: loose({ top: v.number(), floor: v.number() }),
  electorate: v.nullish(
    loose({ serial: v.number(), members: v.array(loose({ node: v.string() })) }),
  ),
  voter: loose({
    recovering: v.boolean(),
    grants: v.array(
      loose({ duty: v.string(), epoch: v.number(), node: v.string(), leftMs: v.number() }),
    ),
  }),
  nodes: v.array(nodeForm),
  desired: v.array(loose({ node: v.string(), generation: v.number(), failed: text })),
  holders: v.array(loose({ duty: v.string(), epoch: v.number(), node: v.string() })),
  origins: v.array(
    loose({
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
export type FleetWord = v.InferOutput<typeof fleetForm>;

export const proxyForm = loose({
  node: v.string(),
  role: v.string(),
  ready: v.boolean(),
  generation: v.number(),
  purged: v.number(),
  cacheLease: v.boolean(),
  forwarding: v.number(),
  keepers: v.array(
    loose({
      service: v.string(),
      epoch: v.number(),
      closing: v.boolean(),
      legs: v.number(),
      typicalMs: v.number(),
      waitlist: v.array(loose({ class: v.string(), waiting: v.number() })),
      running: v.array(loose({ class: v.string(), running: v.number() })),
      budget: loose({ traffic10s: v.number(), extra10s: v.number() }),
      ceilingTokens: number,
      origins: v.array(
        loose({
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
        loose({
          release: v.string(),
          state: v.string(),
          used: v.number(),
          granted: v.number(),
          good: v.number(),
          bad: v.number(),
        }),
      ),
      shares: v.nullish(v.array(loose({ class: v.string(), share: v.number() }))),
    }),
  ),
});
export type ProxyWord = v.InferOutput<typeof proxyForm>;

const storedForms = {
  rollouts: loose({
    rollouts: v.array(
      loose({
        generation: v.number(),
        status: v.string(),
        wave: v.number(),
        waves: v.number(),
        troubled: v.boolean(),
        targets: v.array(
          loose({ node: v.string(), status: v.string(), wave: v.number(), text: v.string() }),
        ),
      }),
    ),
  }),
  nodes: loose({
    nodes: v.array(
      loose({
        node: v.string(),
        assigned: v.nullish(loose({ generation: v.number() })),
        desired: v.nullish(loose({ generation: v.number() })),
        failed: text,
        reported: loose({ generation: v.number(), phase: v.string() }),
      }),
    ),
  }),
  purges: loose({
    purges: v.array(loose({ seq: v.number(), aims: v.array(loose({ by: v.string() })) })),
  }),
  verdicts: loose({
    verdicts: v.array(
      loose({
        service: v.string(),
        release: v.string(),
        state: v.string(),
        spent: v.number(),
        bad: v.number(),
      }),
    ),
  }),
  store: loose({
    store: v.string(),
    epoch: v.number(),
    entries: v.number(),
    waitlist: v.number(),
    metadata: v.nullish(
      loose({ inSyncSet: v.array(v.string()), stores: v.array(loose({ node: v.string() })) }),
    ),
  }),
} as const;
export type Stored = {
  readonly [K in keyof typeof storedForms]: v.InferOutput<(typeof storedForms)[K]> | undefined;
};

/** All that could be learned of the fleet just now, and who did not answer. */
export interface Words {
  readonly fleets: readonly FleetWord[];
  readonly proxies: readonly ProxyWord[];
  readonly stored: Stored;
  /** Processes that were asked and did not answer. */
  readonly silent: readonly string[];
  /** Parts that nobody could tell. */
  readonly missing: readonly string[];
  /** How old the oldest word used is, in milliseconds. */
  readonly ageMs: number;
}

const ask = async (address: string, path: string, span: number): Promise<unknown> => {
  const reply = await got(`http://${address}${path}`, {
    retry: { limit: 0 },
    throwHttpErrors: false,
    timeout: { request: span },
  }).catch(() => undefined);
  if (reply?.statusCode !== 200) return undefined;
  try {
    const raw: unknown = JSON.parse(reply.body);
    return raw;
  } catch {
    return undefined;
  }
};

const read = <T>(schema: v.GenericSchema<unknown, T>, raw: unknown): T | undefined => {
  const parsed = v.safeParse(schema, raw);
  return parsed.success ? parsed.output : undefined;
};

const firstOf = async <T>(
  schema: v.GenericSchema<unknown, T>,
  doors: readonly string[],
  path: string,
  span: number,
): Promise<T | undefined> => {
  for (const door of doors.slice(0, 3)) {
    const found = read(schema, await ask(door, path, span));
    if (found !== undefined) return found;
  }
  return undefined;
};

/** Asks every registry that is known, then every proxy, then the primary through a registry that answered. */
export const gather = async (
  registries: readonly Address[],
  wants: ReadonlySet<string>,
  span: number,
): Promise<Words> => {
  const doors = new Set<string>(registries);
  const asked = new Set<string>();
  const fleets: FleetWord[] = [];
  const silent: string[] = [];
  const answering: string[] = [];
  for (;;) {
    const next = [...doors].filter((one) => !asked.has(one));
    if (next.length === 0) break;
    for (const one of next) asked.add(one);
    const words = await Promise.all(
      next.map(async (door) => ({
        door,
        word: read(fleetForm, await ask(door, '/v1/fleet', span)),
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
      (one.role === 'shield' && wants.has('keepers')) ||
      (one.role === 'edge' && wants.has('edges')),
  );
  const proxies: ProxyWord[] = [];
  await Promise.all(
    wanted.map(async ([name, one]) => {
      const word = read(proxyForm, await ask(one.admin, '/state', span));
      if (word === undefined) silent.push(name);
      else proxies.push(word);
    }),
  );
  const best = [...answering].sort(
    (one, two) => age(fleets, answering, one) - age(fleets, answering, two),
  );
  const storedOf = <T>(
    name: string,
    schema: v.GenericSchema<unknown, T>,
  ): Promise<T | undefined> =>
    wants.has(name) ? firstOf(schema, best, `/v1/${name}`, span) : Promise.resolve(undefined);
  const stored: Stored = {
    rollouts: await storedOf('rollouts', storedForms.rollouts),
    nodes: await storedOf('nodes', storedForms.nodes),
    purges: await storedOf('purges', storedForms.purges),
    verdicts: await storedOf('verdicts', storedForms.verdicts),
    store: await storedOf('store', storedForms.store),
  };
  const missing = Object.entries(stored)
    .filter(([name, word]) => wants.has(name) && word === undefined)
    .map(([name]) => `${name} (the primary does not answer)`);
  if (fleets.length === 0) missing.push('everything (no registry answers)');
  return {
    fleets,
    proxies: proxies.sort((one, two) => (one.node < two.node ? -1 : 1)),
    stored,
    silent: silent.sort(),
    missing,
    ageMs: Math.max(0, ...fleets.map((one) => one.feedAgeMs ?? 0)),
  };
};

const age = (fleets: readonly FleetWord[], doors: readonly string[], door: string): number =>
  fleets[doors.indexOf(door)]?.feedAgeMs ?? Infinity;
