/** The command `purge`. */

import { randomUUID } from 'node:crypto';
import { type CommandOptions, type CommandResult, wrongUse } from './command-result.js';
import { memberOf, toText } from './json-text.js';
import { requestAndShow } from './registry-request.js';

/** `purge`: removes objects from all caches by path, tag, or altogether. */
export const purge = (
  options: CommandOptions,
  paths: readonly string[],
): Promise<CommandResult> => {
  const aims = [
    ...paths.map((path) => ({
      by: 'object',
      path,
      ...(options.host === undefined ? {} : { host: options.host }),
    })),
    ...options.tags.map((tag) => ({ by: 'tag', tag })),
    ...(options.all ? [{ by: 'all' }] : []),
  ];
  if (aims.length === 0) return Promise.resolve(wrongUse('purge what? paths, --tag, or --all'));
  const relativePath = paths.find((path) => !path.startsWith('/'));
  if (relativePath !== undefined)
    return Promise.resolve(wrongUse(`${relativePath}: a path starts with /`));
  const id = options.id ?? randomUUID();
  return requestAndShow(
    options,
    { method: 'POST', path: '/v1/purges', body: JSON.stringify({ id, aims }) },
    (body) =>
      `accepted as purge ${toText(memberOf(body, 'purge'))} of ${toText(memberOf(body, 'aims'))} (id ${id})`,
  );
};
