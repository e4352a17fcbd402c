/** Definition of settings, and the settings that all programs have. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

const maxSeeds = 3;

/** Schema entries of the settings that all programs have. */
export const commonSettingsSchema = {
  node: types.nodeId,
  area: types.zoneName,
  listen: types.address,
  seeds: v.pipe(v.array(types.address), v.maxLength(maxSeeds, 'three seeds at most')),
  log: v.optional(
    v.picklist(['debug', 'info', 'warn', 'error'], 'one of debug, info, warn, error'),
    'info',
  ),
};

/** Setting with its command-line flag `--name`. */
export interface SettingDefinition {
  readonly name: string;
  readonly type: 'text' | 'list' | 'number';
  readonly help: string;
}

/** Flags of the settings in {@link commonSettingsSchema}. */
export const commonSettingDefinitions: readonly SettingDefinition[] = [
  { name: 'node', type: 'text', help: 'name of this node, unique in the fleet' },
  { name: 'area', type: 'text', help: 'zone that this machine is in' },
  { name: 'listen', type: 'text', help: 'IP:port to listen on for other processes' },
  {
    name: 'seeds',
    type: 'list',
    help: 'IP:port of up to three registries to connect to first; repeat the flag or separate by commas',
  },
  { name: 'log', type: 'text', help: 'log level: debug, info, warn or error (info)' },
];

/** Program and its settings, as shown by its help. */
export interface ProgramDefinition {
  readonly name: string;
  readonly description: string;
  readonly settings: readonly SettingDefinition[];
}
