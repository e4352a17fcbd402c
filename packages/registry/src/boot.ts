import * as v from 'valibot';
import { address } from '@switchwheel/types';
import { type Program, common, commonSettings } from '@switchwheel/runtime';

export const program: Program = {
  name: 'registry',
  about: 'The registry of switchwheel: one on every core machine.',
  settings: [
    ...commonSettings,
    { name: 'door', type: 'text', help: 'IP:port for operators and origins' },
    { name: 'limit', type: 'number', help: 'MiB that a description may weigh (64)' },
  ],
};

export const schema = v.strictObject({
  ...common,
  door: address,
  limit: v.optional(
    v.pipe(
      v.number('a number'),
      v.integer('a whole number'),
      v.minValue(1, 'at least 1'),
      v.maxValue(1024, 'at most 1024'),
    ),
    64,
  ),
});
