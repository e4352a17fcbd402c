/** Command `status`. */

import type { CommandOptions, CommandResult } from './command-result.js';
import { formatTable, listProperty, propertyOf, propertyTexts, toText } from './json-text.js';
import { requestAndFormat } from './registry-request.js';

/** Runs `status`: lists nodes with their sessions, and lease holders. */
export const showStatus = (options: CommandOptions): Promise<CommandResult> =>
  requestAndFormat(options, { method: 'GET', path: '/v1/fleet' }, (body) => {
    const nodes = listProperty(body, 'nodes').map((node) => [
      ...propertyTexts(node, ['node', 'role', 'area']),
      propertyOf(node, 'open') === true ? 'connected' : 'disconnected',
      ...propertyTexts(node, ['generation', 'phase', 'ready', 'registry']),
      `${toText(propertyOf(node, 'ageMs'))} ms`,
    ]);
    const holders = listProperty(body, 'holders').map((holder) =>
      propertyTexts(holder, ['duty', 'node', 'epoch']),
    );
    return [
      `fleet ${toText(propertyOf(body, 'fleet'))}, generation ${toText(propertyOf(body, 'generation'))}, reported by registry ${toText(propertyOf(body, 'registry'))}, last update from the primary ${toText(propertyOf(body, 'feedAgeMs'))} ms ago`,
      '',
      formatTable(
        [
          'node',
          'role',
          'area',
          'session',
          'generation',
          'phase',
          'ready',
          'registry',
          'last heartbeat',
        ],
        nodes,
      ),
      '',
      formatTable(['duty', 'holder', 'epoch'], holders),
    ].join('\n');
  });
