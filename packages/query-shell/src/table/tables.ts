import type { FleetState, FleetSnapshot } from '../snapshot/collect.js';

export type Cell = string | number | boolean | null;
export type Row = ReadonlyMap<string, Cell>;

/** One table that can be asked, with its columns and what it is made from. */
export interface Table {
  readonly summary: string;
  readonly columns: readonly string[];
  readonly sources: readonly string[];
  readonly rows: (words: FleetSnapshot) => readonly Row[];
}

const row = (...cells: readonly (readonly [string, Cell | undefined])[]): Row =>
  new Map(cells.map(([name, cell]) => [name, cell ?? null]));

type NodeState = FleetState['nodes'][number];

/** The newest word on each node, whichever registry has it. */
const newestNodes = (snapshot: FleetSnapshot): readonly NodeState[] => {
  const best = new Map<string, NodeState>();
  for (const fleet of snapshot.fleets) {
    for (const node of fleet.nodes) {
      const old = best.get(node.node);
      if (
        old === undefined ||
        node.incarnation > old.incarnation ||
        (node.incarnation === old.incarnation && node.ageMs < old.ageMs)
      )
        best.set(node.node, node);
    }
  }
  return [...best.values()].sort((one, two) => (one.node < two.node ? -1 : 1));
};

const desiredGeneration = (snapshot: FleetSnapshot, node: string): number | undefined => {
  const top = [...snapshot.fleets].sort((one, two) => two.generation - one.generation)[0];
  return top?.desired.find((one) => one.node === node)?.generation;
};

const newestOrigins = (snapshot: FleetSnapshot): readonly FleetState['origins'][number][] => {
  const best = new Map<string, FleetState['origins'][number]>();
  for (const fleet of snapshot.fleets) {
    for (const one of fleet.origins) {
      const old = best.get(one.instance);
      if (old === undefined || one.ageMs < old.ageMs || one.state !== 'up')
        best.set(one.instance, one);
    }
  }
  return [...best.values()];
};

const serviceLeaders = (
  snapshot: FleetSnapshot,
): readonly (FleetSnapshot['proxies'][number]['keepers'][number] & { readonly node: string })[] =>
  snapshot.proxies.flatMap((proxy) => proxy.keepers.map((one) => ({ ...one, node: proxy.node })));

const sum = (list: readonly number[]): number => list.reduce((total, one) => total + one, 0);

export const tables: ReadonlyMap<string, Table> = new Map<string, Table>([
  [
    'nodes',
    {
      summary: 'every node, by the newest word on it',
      sources: [],
      columns: [
        'node',
        'role',
        'area',
        'open',
        'ready',
        'generation',
        'desired',
        'phase',
        'healthy',
        'why',
        'registry',
        'age',
        'address',
      ],
      rows: (words) =>
        newestNodes(words).map((one) =>
          row(
            ['node', one.node],
            ['role', one.role],
            ['area', one.area],
            ['open', one.open],
            ['ready', one.ready],
            ['generation', one.generation],
            ['desired', desiredGeneration(words, one.node)],
            ['phase', one.phase],
            ['healthy', one.health?.healthy],
            ['why', one.failed?.text ?? one.health?.text],
            ['registry', one.registry],
            ['age', one.ageMs],
            ['address', one.address],
          ),
        ),
    },
  ],
  [
    'sessions',
    {
      summary: 'each session as each registry tells it',
      sources: [],
      columns: ['node', 'told', 'registry', 'open', 'age', 'incarnation'],
      rows: (words) =>
        words.fleets.flatMap((fleet) =>
          fleet.nodes
            .filter((one) => one.role !== 'registry')
            .map((one) =>
              row(
                ['node', one.node],
                ['told', fleet.registry],
                ['registry', one.registry],
                ['open', one.open],
                ['age', one.ageMs],
                ['incarnation', one.incarnation],
              ),
            ),
        ),
    },
  ],
  [
    'areas',
    {
      summary: 'areas with their nodes',
      sources: [],
      columns: ['area', 'nodes', 'open', 'ready'],
      rows: (words) => {
        const all = newestNodes(words);
        return [...new Set(all.map((one) => one.area))].sort().map((area) => {
          const mine = all.filter((one) => one.area === area);
          return row(
            ['area', area],
            ['nodes', mine.length],
            ['open', mine.filter((one) => one.open).length],
            ['ready', mine.filter((one) => one.ready === true).length],
          );
        });
      },
    },
  ],
  [
    'duties',
    {
      summary: 'duties with holders, epochs and the leases that voters know',
      sources: [],
      columns: ['duty', 'node', 'epoch', 'voters', 'left'],
      rows: (words) => {
        const best = new Map<string, FleetState['holders'][number]>();
        for (const fleet of words.fleets)
          for (const one of fleet.holders)
            if ((best.get(one.duty)?.epoch ?? -1) < one.epoch) best.set(one.duty, one);
        return [...best.values()]
          .sort((one, two) => (one.duty < two.duty ? -1 : 1))
          .map((one) => {
            const grants = words.fleets.flatMap((fleet) =>
              fleet.voter.grants.filter(
                (grant) => grant.duty === one.duty && grant.epoch === one.epoch && grant.leftMs > 0,
              ),
            );
            return row(
              ['duty', one.duty],
              ['node', one.node],
              ['epoch', one.epoch],
              ['voters', grants.length],
              ['left', Math.max(0, ...grants.map((grant) => grant.leftMs))],
            );
          });
      },
    },
  ],
  [
    'registries',
    {
      summary: 'registries: what each knows',
      sources: [],
      columns: [
        'registry',
        'touch',
        'feed',
        'epoch',
        'generation',
        'purges',
        'recovering',
        'voters',
      ],
      rows: (words) =>
        words.fleets.map((one) =>
          row(
            ['registry', one.registry],
            ['touch', one.inTouch],
            ['feed', one.feedAgeMs],
            ['epoch', one.epoch],
            ['generation', one.generation],
            ['purges', one.purges.top],
            ['recovering', one.voter.recovering],
            ['voters', one.electorate?.members.map((member) => member.node).join(' ')],
          ),
        ),
    },
  ],
  [
    'generations',
    {
      summary: 'per node: assigned, desired, reported, failed',
      sources: ['nodes'],
      columns: ['node', 'assigned', 'desired', 'reported', 'phase', 'failed'],
      rows: (words) =>
        words.stored.nodes === undefined
          ? newestNodes(words)
              .filter((one) => one.generation !== undefined)
              .map((one) =>
                row(
                  ['node', one.node],
                  ['desired', desiredGeneration(words, one.node)],
                  ['reported', one.generation],
                  ['phase', one.phase],
                  ['failed', one.failed?.text],
                ),
              )
          : words.stored.nodes.nodes.map((one) =>
              row(
                ['node', one.node],
                ['assigned', one.assigned?.generation],
                ['desired', one.desired?.generation],
                ['reported', one.reported.generation],
                ['phase', one.reported.phase],
                ['failed', one.failed],
              ),
            ),
    },
  ],
  [
    'rollouts',
    {
      summary: 'rollouts, newest first',
      sources: ['rollouts'],
      columns: ['generation', 'status', 'wave', 'waves', 'troubled', 'targets', 'failed'],
      rows: (words) =>
        (words.stored.rollouts?.rollouts ?? []).map((one) =>
          row(
            ['generation', one.generation],
            ['status', one.status],
            ['wave', one.wave + 1],
            ['waves', one.waves],
            ['troubled', one.troubled],
            ['targets', one.targets.length],
            ['failed', one.targets.filter((target) => target.status === 'failed').length],
          ),
        ),
    },
  ],
  [
    'targets',
    {
      summary: 'targets of rollouts',
      sources: ['rollouts'],
      columns: ['generation', 'node', 'wave', 'status', 'why'],
      rows: (words) =>
        (words.stored.rollouts?.rollouts ?? []).flatMap((one) =>
          one.targets.map((target) =>
            row(
              ['generation', one.generation],
              ['node', target.node],
              ['wave', target.wave + 1],
              ['status', target.status],
              ['why', target.text],
            ),
          ),
        ),
    },
  ],
  [
    'services',
    {
      summary: 'services at their keepers',
      sources: ['keepers'],
      columns: [
        'service',
        'keeper',
        'epoch',
        'origins',
        'slots',
        'used',
        'waiting',
        'typical',
        'traffic10s',
        'extra10s',
        'tokens',
        'closing',
      ],
      rows: (words) =>
        serviceLeaders(words).map((one) =>
          row(
            ['service', one.service],
            ['keeper', one.node],
            ['epoch', one.epoch],
            ['origins', one.origins.filter((origin) => origin.up).length],
            ['slots', sum(one.origins.filter((origin) => origin.up).map((origin) => origin.slots))],
            ['used', sum(one.origins.map((origin) => origin.used))],
            ['waiting', sum(one.waitlist.map((list) => list.waiting))],
            ['typical', one.typicalMs],
            ['traffic10s', one.budget.traffic10s],
            ['extra10s', one.budget.extra10s],
            ['tokens', one.ceilingTokens],
            ['closing', one.closing],
          ),
        ),
    },
  ],
  [
    'classes',
    {
      summary: 'classes at each service: running, waiting, and what is on loan beyond their share',
      sources: ['keepers'],
      columns: ['service', 'class', 'running', 'waiting', 'share', 'loan'],
      rows: (words) =>
        serviceLeaders(words).flatMap((one) =>
          one.running.map((load) => {
            const slots = sum(
              one.origins.filter((origin) => origin.up).map((origin) => origin.slots),
            );
            const part = one.shares?.find((each) => each.class === load.class)?.share;
            const share = part === undefined ? undefined : Math.floor(part * slots + 1e-9);
            return row(
              ['service', one.service],
              ['class', load.class],
              ['running', load.running],
              ['waiting', one.waitlist.find((list) => list.class === load.class)?.waiting ?? 0],
              ['share', share],
              ['loan', share === undefined ? undefined : Math.max(0, load.running - share)],
            );
          }),
        ),
    },
  ],
  [
    'origins',
    {
      summary: 'origins as announced, with what their keeper sees',
      sources: ['keepers'],
      columns: [
        'instance',
        'service',
        'release',
        'state',
        'age',
        'slots',
        'used',
        'probe',
        'typical',
        'passed',
        'address',
      ],
      rows: (words) =>
        newestOrigins(words).map((one) => {
          const bay = serviceLeaders(words)
            .flatMap((keeper) => keeper.origins)
            .find((each) => each.instance === one.instance);
          return row(
            ['instance', one.instance],
            ['service', one.service],
            ['release', one.release],
            ['state', one.state],
            ['age', one.ageMs],
            ['slots', one.slots],
            ['used', bay?.used],
            ['probe', bay?.probe],
            ['typical', bay?.typicalMs],
            ['passed', bay?.passedOverMs],
            ['address', one.address],
          );
        }),
    },
  ],
  [
    'trials',
    {
      summary: 'releases on trial and what is judged of them',
      sources: ['keepers', 'verdicts'],
      columns: ['service', 'release', 'state', 'spent', 'bad', 'used', 'granted', 'good'],
      rows: (words) => {
        const live = serviceLeaders(words)
          .filter((one) => !one.closing)
          .flatMap((one) => one.trials.map((trial) => ({ ...trial, service: one.service })));
        const stored =
          words.stored.verdicts?.verdicts ??
          live.map((one) => ({
            service: one.service,
            release: one.release,
            state: one.state,
            spent: one.granted,
            bad: one.bad,
          }));
        return stored.map((one) => {
          const trial = live.find(
            (each) => each.service === one.service && each.release === one.release,
          );
          return row(
            ['service', one.service],
            ['release', one.release],
            ['state', one.state],
            ['spent', one.spent],
            ['bad', Math.max(one.bad, trial?.bad ?? 0)],
            ['used', trial?.used],
            ['granted', trial?.granted],
            ['good', trial?.good],
          );
        });
      },
    },
  ],
  [
    'purges',
    {
      summary: 'batches of purges that are kept',
      sources: ['purges'],
      columns: ['number', 'aims', 'first'],
      rows: (words) =>
        (words.stored.purges?.purges ?? []).map((one) =>
          row(
            ['number', one.seq],
            ['aims', one.aims.length],
            ['first', JSON.stringify(one.aims[0])],
          ),
        ),
    },
  ],
  [
    'stores',
    {
      summary: 'stores: who is in sync',
      sources: ['store'],
      columns: ['store', 'primary', 'inSyncSet', 'epoch', 'entries', 'waiting'],
      rows: (words) => {
        const told = words.stored.store;
        return (told?.metadata?.stores ?? []).map((one) =>
          row(
            ['store', one.node],
            ['primary', told?.store === one.node],
            ['inSyncSet', told?.metadata?.inSyncSet.includes(one.node)],
            ['epoch', told?.epoch],
            ['entries', told?.store === one.node ? told.entries : null],
            ['waiting', told?.store === one.node ? told.waitlist : null],
          ),
        );
      },
    },
  ],
  [
    'edges',
    {
      summary: 'edges: requests under way, purges heard, cache lease',
      sources: ['edges'],
      columns: ['node', 'ready', 'generation', 'purged', 'lease', 'forwarding'],
      rows: (words) =>
        words.proxies
          .filter((one) => one.role === 'edge')
          .map((one) =>
            row(
              ['node', one.node],
              ['ready', one.ready],
              ['generation', one.generation],
              ['purged', one.purged],
              ['lease', one.cacheLease],
              ['forwarding', one.forwarding],
            ),
          ),
    },
  ],
]);
