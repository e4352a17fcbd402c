/** Tables of nodes: their state, sessions, zones and generations. */

import { desiredGeneration, newestNodes } from './newest.js';
import { type Table, row } from './table.js';

/** The table `nodes`. */
export const nodesTable: Table = {
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
  rows: (snapshot) =>
    newestNodes(snapshot).map((one) =>
      row(
        ['node', one.node],
        ['role', one.role],
        ['area', one.area],
        ['open', one.open],
        ['ready', one.ready],
        ['generation', one.generation],
        ['desired', desiredGeneration(snapshot, one.node)],
        ['phase', one.phase],
        ['healthy', one.health?.healthy],
        ['why', one.failed?.text ?? one.health?.text],
        ['registry', one.registry],
        ['age', one.ageMs],
        ['address', one.address],
      ),
    ),
};

/** The table `sessions`. */
export const sessionsTable: Table = {
  summary: 'each session as each registry tells it',
  sources: [],
  columns: ['node', 'told', 'registry', 'open', 'age', 'incarnation'],
  rows: (snapshot) =>
    snapshot.fleets.flatMap((fleet) =>
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
};

/** The table `areas`. */
export const areasTable: Table = {
  summary: 'areas with their nodes',
  sources: [],
  columns: ['area', 'nodes', 'open', 'ready'],
  rows: (snapshot) => {
    const all = newestNodes(snapshot);
    return [...new Set(all.map((one) => one.area))].sort().map((area) => {
      const members = all.filter((one) => one.area === area);
      return row(
        ['area', area],
        ['nodes', members.length],
        ['open', members.filter((one) => one.open).length],
        ['ready', members.filter((one) => one.ready === true).length],
      );
    });
  },
};

/** The table `generations`. */
export const generationsTable: Table = {
  summary: 'per node: assigned, desired, reported, failed',
  sources: ['nodes'],
  columns: ['node', 'assigned', 'desired', 'reported', 'phase', 'failed'],
  rows: (snapshot) =>
    snapshot.stored.nodes === undefined
      ? newestNodes(snapshot)
          .filter((one) => one.generation !== undefined)
          .map((one) =>
            row(
              ['node', one.node],
              ['desired', desiredGeneration(snapshot, one.node)],
              ['reported', one.generation],
              ['phase', one.phase],
              ['failed', one.failed?.text],
            ),
          )
      : snapshot.stored.nodes.nodes.map((one) =>
          row(
            ['node', one.node],
            ['assigned', one.assigned?.generation],
            ['desired', one.desired?.generation],
            ['reported', one.reported.generation],
            ['phase', one.reported.phase],
            ['failed', one.failed],
          ),
        ),
};

/** The table `edges`. */
export const edgesTable: Table = {
  summary: 'edges: requests under way, purges heard, cache lease',
  sources: ['edges'],
  columns: ['node', 'ready', 'generation', 'purged', 'lease', 'forwarding'],
  rows: (snapshot) =>
    snapshot.proxies
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
};
