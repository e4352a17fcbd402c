/** Command `status`. */

import type { CommandOptions, CommandResult } from './command-result.js';
import { formatTable, listMember, memberOf, memberTexts, toText } from './json-text.js';
import { requestAndFormat } from './registry-request.js';

/** Runs `status`: lists nodes with their sessions, and lease holders. */
export const showStatus = (options: CommandOptions): Promise<CommandResult> =>
  requestAndFormat(options, { method: 'GET', path: '/v1/fleet' }, (body) => {
    const nodes = listMember(body, 'nodes').map((node) => [
      ...memberTexts(node, ['node', 'role', 'area']),
      memberOf(node, 'open') === true ? 'connected' : 'disconnected',
      ...memberTexts(node, ['generation', 'phase', 'ready', 'registry']),
      `${toText(memberOf(node, 'ageMs'))} ms`,
    ]);
    const holders = listMember(body, 'holders').map((holder) =>
      memberTexts(holder, ['duty', 'node', 'epoch']),
    );
    return [
      `fleet ${toText(memberOf(body, 'fleet'))}, generation ${toText(memberOf(body, 'generation'))}, reported by registry ${toText(memberOf(body, 'registry'))}, last update from the primary ${toText(memberOf(body, 'feedAgeMs'))} ms ago`,
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
