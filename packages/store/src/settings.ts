/** The settings of the program `store`, their checks, and its help. Their names are part of the operators' interface. */

import * as v from 'valibot';
import { address } from '@switchwheel/types';
import {
  type ProgramDefinition,
  commonSettingsSchema,
  commonSettingDefinitions,
} from '@switchwheel/runtime';

/** The program as its help shows it. */
export const program: ProgramDefinition = {
  name: 'store',
  description: 'The store of configuration of switchwheel: one on every core machine with a disk.',
  settings: [
    ...commonSettingDefinitions,
    { name: 'data', type: 'text', help: 'the one folder that all files live under' },
    { name: 'admin', type: 'text', help: 'IP:port for /live, /ready and /metrics' },
    { name: 'copies', type: 'number', help: 'stores that must have each write (2)' },
    { name: 'tolerate', type: 'number', help: 'machines with a disk that may be lost at once (1)' },
    { name: 'electorate', type: 'text', help: 'fixed, or follows the registries (fixed)' },
  ],
};

/** The checks of the settings; each message is shown behind the setting's name. */
export const settingsSchema = v.strictObject({
  ...commonSettingsSchema,
  data: v.pipe(v.string('a folder'), v.minLength(1, 'a folder')),
  admin: address,
  copies: v.optional(
    v.pipe(
      v.number('a number'),
      v.integer('a whole number'),
      v.minValue(1, 'at least 1'),
      v.maxValue(15, 'at most 15'),
    ),
    2,
  ),
  tolerate: v.optional(
    v.pipe(
      v.number('a number'),
      v.integer('a whole number'),
      v.minValue(0, 'at least 0'),
      v.maxValue(14, 'at most 14'),
    ),
    1,
  ),
  electorate: v.optional(v.picklist(['fixed', 'follows'], 'fixed or follows'), 'fixed'),
});
