/** The settings of the `proxy` command, as the command line and the environment give them. */

import * as v from 'valibot';
import { address } from '@switchwheel/types';
import {
  type ProgramDefinition,
  commonSettingsSchema,
  commonSettingDefinitions,
} from '@switchwheel/runtime';

/** The command, with the text that its help shows. */
export const program: ProgramDefinition = {
  name: 'proxy',
  description: 'The proxy of switchwheel: an edge takes callers, a shield keeps services.',
  settings: [
    ...commonSettingDefinitions,
    { name: 'role', type: 'text', help: 'edge or shield' },
    { name: 'door', type: 'text', help: 'IP:port for callers (edge) or for edges (shield)' },
    { name: 'admin', type: 'text', help: 'IP:port for /live, /ready and /metrics' },
    { name: 'cache', type: 'number', help: 'MiB of results to keep in memory (256)' },
  ],
};

/** What the settings have to be; unknown ones are refused. */
export const settingsSchema = v.strictObject({
  ...commonSettingsSchema,
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

/** Valid settings; `cache` is in MiB. */
export type ProxySettings = v.InferOutput<typeof settingsSchema>;
