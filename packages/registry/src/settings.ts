/** Settings of the `registry` program and its help text. The names of the settings are a public interface. */

import * as v from 'valibot';
import { address } from '@switchwheel/types';
import {
  type ProgramDefinition,
  commonSettingsSchema,
  commonSettingDefinitions,
} from '@switchwheel/runtime';

/** Name and settings of the program, for its help text. */
export const program: ProgramDefinition = {
  name: 'registry',
  description:
    'A switchwheel registry, which connects nodes, origins and operators to the stores. One runs on each core machine.',
  settings: [
    ...commonSettingDefinitions,
    { name: 'door', type: 'text', help: 'IP:port to listen on for operators and origins (HTTP)' },
    {
      name: 'limit',
      type: 'number',
      help: 'maximum size of an uploaded configuration in MiB (64)',
    },
  ],
};

/** Schema of the settings; each message is printed after the setting's name. `limit` is in mebibytes. */
export const settingsSchema = v.strictObject({
  ...commonSettingsSchema,
  door: address,
  limit: v.optional(
    v.pipe(
      v.number('must be a number'),
      v.integer('must be an integer'),
      v.minValue(1, 'must be at least 1'),
      v.maxValue(1024, 'must be at most 1024'),
    ),
    64,
  ),
});
