/** Tables of nodes: state, sessions, zones and generations. */

import { desiredGeneration, newestNodes } from './newest.js';
import { type Table, row } from './table.js';

/** Table `nodes`: one row per node. */
export const nodesTable: Table = {
  summary: 'nodes, each in its newest reported state',
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
  rows: (snapshot) =>
    newestNodes(snapshot).map((node) =>
      row(
        ['node', node.node],
        ['role', node.role],
        ['area', node.area],
        ['open', node.open],
        ['ready', node.ready],
        ['generation', node.generation],
        ['desired', desiredGeneration(snapshot, node.node)],
        ['phase', node.phase],
        ['healthy', node.health?.healthy],
        ['why', node.failed?.text ?? node.health?.text],
        ['registry', node.registry],
        ['age', node.ageMs],
        ['address', node.address],
      ),
    ),
};

/** Table `sessions`: one row per node and registry that reports its session. */
export const sessionsTable: Table = {
  summary: 'sessions of nodes as each registry reports them',
  sources: [],
  columns: ['node', 'told', 'registry', 'open', 'age', 'incarnation'],
  rows: (snapshot) =>
    snapshot.fleets.flatMap((fleet) =>
      fleet.nodes
        .filter((node) => node.role !== 'registry')
        .map((node) =>
          row(
            ['node', node.node],
            ['told', fleet.registry],
            ['registry', node.registry],
            ['open', node.open],
            ['age', node.ageMs],
            ['incarnation', node.incarnation],
          ),
        ),
    ),
};

/** Table `areas`: one row per zone. */
export const areasTable: Table = {
  summary: 'zones with the number of nodes in each',
  sources: [],
  columns: ['area', 'nodes', 'open', 'ready'],
  rows: (snapshot) => {
    const nodes = newestNodes(snapshot);
    return [...new Set(nodes.map((node) => node.area))].sort().map((zone) => {
      const members = nodes.filter((node) => node.area === zone);
      return row(
        ['area', zone],
        ['nodes', members.length],
        ['open', members.filter((node) => node.open).length],
        ['ready', members.filter((node) => node.ready === true).length],
      );
    });
  },
};

/** Table `generations`: one row per node that runs a configuration. */
export const generationsTable: Table = {
  summary: 'generations of each node: assigned, desired, reported and failed',
  sources: ['nodes'],
  columns: ['node', 'assigned', 'desired', 'reported', 'phase', 'failed'],
  rows: (snapshot) =>
    snapshot.stored.nodes === undefined
      ? newestNodes(snapshot)
          .filter((node) => node.generation !== undefined)
          .map((node) =>
            row(
              ['node', node.node],
              ['desired', desiredGeneration(snapshot, node.node)],
              ['reported', node.generation],
              ['phase', node.phase],
              ['failed', node.failed?.text],
            ),
          )
      : snapshot.stored.nodes.nodes.map((node) =>
          row(
            ['node', node.node],
            ['assigned', node.assigned?.generation],
            ['desired', node.desired?.generation],
            ['reported', node.reported.generation],
            ['phase', node.reported.phase],
            ['failed', node.failed],
          ),
        ),
};

/** Table `edges`: one row per edge that responded. */
export const edgesTable: Table = {
  summary: 'edges with their newest purge, cache lease and requests in progress',
  sources: ['edges'],
  columns: ['node', 'ready', 'generation', 'purged', 'lease', 'forwarding'],
  rows: (snapshot) =>
    snapshot.proxies
      .filter((edge) => edge.role === 'edge')
      .map((edge) =>
        row(
          ['node', edge.node],
          ['ready', edge.ready],
          ['generation', edge.generation],
          ['purged', edge.purged],
          ['lease', edge.cacheLease],
          ['forwarding', edge.forwarding],
        ),
      ),
};
