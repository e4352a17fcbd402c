import * as v from 'valibot';
import { address } from '@switchwheel/types';
import { type Program, common, commonSettings } from '@switchwheel/runtime';

export const program: Program = {
  name: 'proxy',
  about: 'The proxy of switchwheel: an edge takes callers, a shield keeps services.',
  settings: [
    ...commonSettings,
    { name: 'role', type: 'text', help: 'edge or shield' },
    { name: 'door', type: 'text', help: 'IP:port for callers (edge) or for edges (shield)' },
    { name: 'admin', type: 'text', help: 'IP:port for /live, /ready and /metrics' },
    { name: 'cache', type: 'number', help: 'MiB of results to keep in memory (256)' },
  ],
};

export const schema = v.strictObject({
  ...common,
  role: v.picklist(['edge', 'shield'], 'edge or shield'),
  door: address,
  admin: address,
  cache: v.optional(
    v.pipe(
      v.number('a number'),
      v.integer('a whole number'),
      v.minValue(1, 'at least 1'),
      v.maxValue(65_536, 'at most 65536'),
    ),
    256,
  ),
});
