/** What a setting is: its name, type and help. Which settings a program has is up to the program. */

import * as v from 'valibot';
import * as types from '@switchwheel/types';

const maxSeeds = 3;

/** The schema entries of the settings that all programs of a fleet share. */
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

/** How a setting is given on the command line, as `--name`. */
export interface SettingDefinition {
  readonly name: string;
  readonly type: 'text' | 'list' | 'number';
  readonly help: string;
}

/** The flags of the settings in {@link commonSettingsSchema}. */
export const commonSettingDefinitions: readonly SettingDefinition[] = [
  { name: 'node', type: 'text', help: 'the name of this node, its own in the fleet' },
  { name: 'area', type: 'text', help: 'the area this machine stands in' },
  { name: 'listen', type: 'text', help: 'IP:port for the other processes' },
  {
    name: 'seeds',
    type: 'list',
    help: 'IP:port of up to three registries, to find the fleet; repeat the flag or part by commas',
  },
  { name: 'log', type: 'text', help: 'debug, info, warn or error (info)' },
];

/** A program and its settings, as its help shows them. */
export interface ProgramDefinition {
  readonly name: string;
  readonly description: string;
  readonly settings: readonly SettingDefinition[];
}
