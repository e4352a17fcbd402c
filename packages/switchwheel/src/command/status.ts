/** The command `status`. */

import type { CommandOptions, CommandResult } from './command-result.js';
import { formatTable, listMember, memberOf, textsOf, toText } from './json-text.js';
import { requestAndShow } from './registry-request.js';

/** `status`: nodes with their sessions, and lease holders. */
export const showStatus = (options: CommandOptions): Promise<CommandResult> =>
  requestAndShow(options, { method: 'GET', path: '/v1/fleet' }, (body) => {
    const nodes = listMember(body, 'nodes').map((node) => [
      ...textsOf(node, ['node', 'role', 'area']),
      memberOf(node, 'open') === true ? 'in touch' : 'out of touch',
      ...textsOf(node, ['generation', 'phase', 'ready', 'registry']),
      `${toText(memberOf(node, 'ageMs'))} ms`,
    ]);
    const holders = listMember(body, 'holders').map((holder) =>
      textsOf(holder, ['duty', 'node', 'epoch']),
    );
    return [
      `fleet ${toText(memberOf(body, 'fleet'))}, generation ${toText(memberOf(body, 'generation'))}, told by ${toText(memberOf(body, 'registry'))}, word of the primary ${toText(memberOf(body, 'feedAgeMs'))} ms old`,
      '',
      formatTable(
        ['node', 'role', 'area', 'session', 'generation', 'phase', 'ready', 'registry', 'heard'],
        nodes,
      ),
      '',
      formatTable(['duty', 'holder', 'epoch'], holders),
    ].join('\n');
  });
