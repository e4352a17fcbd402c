/** Command `purge`. */

import { randomUUID } from 'node:crypto';
import { type CommandOptions, type CommandResult, usageError } from './command-result.js';
import { propertyOf, toText } from './json-text.js';
import { requestAndFormat } from './registry-request.js';

/** Runs `purge`: invalidates cached objects on all nodes by path, by tag, or all of them. */
export const purge = (
  options: CommandOptions,
  paths: readonly string[],
): Promise<CommandResult> => {
  const targets = [
    ...paths.map((path) => ({
      by: 'object',
      path,
      ...(options.host === undefined ? {} : { host: options.host }),
    })),
    ...options.tags.map((tag) => ({ by: 'tag', tag })),
    ...(options.all ? [{ by: 'all' }] : []),
  ];
  if (targets.length === 0)
    return Promise.resolve(usageError('nothing to purge; give paths, --tag or --all'));
  const relativePath = paths.find((path) => !path.startsWith('/'));
  if (relativePath !== undefined)
    return Promise.resolve(usageError(`invalid path ${relativePath}: a path starts with /`));
  const id = options.id ?? randomUUID();
  return requestAndFormat(
    options,
    { method: 'POST', path: '/v1/purges', body: JSON.stringify({ id, aims: targets }) },
    (body) =>
      `accepted as purge ${toText(propertyOf(body, 'purge'))} of ${toText(propertyOf(body, 'aims'))} targets (id ${id})`,
  );
};
