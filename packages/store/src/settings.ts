/** Settings of the `store` program and its help text. The names of the settings are a public interface. */

import * as v from 'valibot';
import { address } from '@switchwheel/types';
import {
  type ProgramDefinition,
  commonSettingsSchema,
  commonSettingDefinitions,
} from '@switchwheel/runtime';

/** Name and settings of the program, for its help text. */
export const program: ProgramDefinition = {
  name: 'store',
  description:
    'A switchwheel store, which keeps a replica of the configuration. One runs on each core machine with a disk.',
  settings: [
    ...commonSettingDefinitions,
    { name: 'data', type: 'text', help: 'folder for all files of the store' },
    {
      name: 'admin',
      type: 'text',
      help: 'IP:port to listen on for /live, /ready and /metrics',
    },
    { name: 'copies', type: 'number', help: 'number of stores that keep each write (2)' },
    { name: 'tolerate', type: 'number', help: 'number of stores that may be lost at once (1)' },
    {
      name: 'electorate',
      type: 'text',
      help: 'set of voters: fixed, or follows the registries (fixed)',
    },
  ],
};

/** Schema of the settings; each message is printed after the setting's name. */
export const settingsSchema = v.strictObject({
  ...commonSettingsSchema,
  data: v.pipe(
    v.string('must be the path of a folder'),
    v.minLength(1, 'must be the path of a folder'),
  ),
  admin: address,
  copies: v.optional(
    v.pipe(
      v.number('must be a number'),
      v.integer('must be an integer'),
      v.minValue(1, 'must be at least 1'),
      v.maxValue(15, 'must be at most 15'),
    ),
    2,
  ),
  tolerate: v.optional(
    v.pipe(
      v.number('must be a number'),
      v.integer('must be an integer'),
      v.minValue(0, 'must be at least 0'),
      v.maxValue(14, 'must be at most 14'),
    ),
    1,
  ),
  electorate: v.optional(v.picklist(['fixed', 'follows'], 'must be fixed or follows'), 'fixed'),
});
