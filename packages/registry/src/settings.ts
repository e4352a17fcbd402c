/** The settings of the `registry` program. Their names are part of the operators' interface. */

import * as v from 'valibot';
import { address } from '@switchwheel/types';
import {
  type ProgramDefinition,
  commonSettingsSchema,
  commonSettingDefinitions,
} from '@switchwheel/runtime';

/** The program's name and settings, for its help text. */
export const program: ProgramDefinition = {
  name: 'registry',
  description: 'The registry of switchwheel: one on every core machine.',
  settings: [
    ...commonSettingDefinitions,
    { name: 'door', type: 'text', help: 'IP:port for operators and origins' },
    { name: 'limit', type: 'number', help: 'MiB that a description may weigh (64)' },
  ],
};

/** The schema of the settings; `limit` is in mebibytes. */
export const settingsSchema = v.strictObject({
  ...commonSettingsSchema,
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
