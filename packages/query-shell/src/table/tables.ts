/** Index of all tables of the shell. */

import {
  areasTable,
  edgesTable,
  generationsTable,
  nodesTable,
  sessionsTable,
} from './node-tables.js';
import {
  dutiesTable,
  purgesTable,
  registriesTable,
  rolloutsTable,
  storesTable,
  targetsTable,
} from './control-tables.js';
import { classesTable, originsTable, servicesTable, trialsTable } from './service-tables.js';
import type { Table } from './table.js';

/** Tables by the name that a query starts with, in the order of the help text. */
export const tables: ReadonlyMap<string, Table> = new Map<string, Table>([
  ['nodes', nodesTable],
  ['sessions', sessionsTable],
  ['areas', areasTable],
  ['duties', dutiesTable],
  ['registries', registriesTable],
  ['generations', generationsTable],
  ['rollouts', rolloutsTable],
  ['targets', targetsTable],
  ['services', servicesTable],
  ['classes', classesTable],
  ['origins', originsTable],
  ['trials', trialsTable],
  ['purges', purgesTable],
  ['stores', storesTable],
  ['edges', edgesTable],
]);
