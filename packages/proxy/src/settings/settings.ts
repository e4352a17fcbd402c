/** Settings of the `proxy` program and its help text. The names of the settings are a public interface. */

import * as v from 'valibot';
import { address } from '@switchwheel/types';
import {
  type ProgramDefinition,
  commonSettingsSchema,
  commonSettingDefinitions,
} from '@switchwheel/runtime';

/** Definition of the command, with its help texts. */
export const program: ProgramDefinition = {
  name: 'proxy',
  description:
    'Switchwheel proxy: an edge serves clients, a shield leads services and reaches their origins.',
  settings: [
    ...commonSettingDefinitions,
    { name: 'role', type: 'text', help: 'edge or shield' },
    { name: 'door', type: 'text', help: 'IP:port for clients (edge) or for edges (shield)' },
    { name: 'admin', type: 'text', help: 'IP:port for /live, /ready and /metrics' },
    { name: 'cache', type: 'number', help: 'cache size in MiB (256)' },
  ],
};

/** Schema of the settings; each message is printed after the setting's name. */
export const settingsSchema = v.strictObject({
  ...commonSettingsSchema,
  role: v.picklist(['edge', 'shield'], 'must be edge or shield'),
  door: address,
  admin: address,
  cache: v.optional(
    v.pipe(
      v.number('must be a number'),
      v.integer('must be an integer'),
      v.minValue(1, 'must be at least 1'),
      v.maxValue(65_536, 'must be at most 65536'),
    ),
    256,
  ),
});

/** Valid settings; `cache` is in MiB. */
export type ProxySettings = v.InferOutput<typeof settingsSchema>;
