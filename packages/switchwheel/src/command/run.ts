/** Dispatch of commands by name. */

import { applyFile } from './apply.js';
import { checkFile } from './check.js';
import { type CommandOptions, type CommandResult, usageError } from './command-result.js';
import { diffAgainstCurrent } from './diff-command.js';
import { changeVoter, bootstrapFleet } from './fleet.js';
import { importFile } from './import.js';
import { propertyOf } from './json-text.js';
import { purge } from './purge.js';
import { requestAndFormat } from './registry-request.js';
import { requestRelease, showReleases } from './releases.js';
import { showRollouts } from './rollouts.js';
import { showStatus } from './status.js';

const showConfiguration = (options: CommandOptions): Promise<CommandResult> =>
  requestAndFormat(options, { method: 'GET', path: '/v1/description' }, (body) =>
    JSON.stringify(propertyOf(body, 'description'), null, 2),
  );

const showCommandOutcome = (
  options: CommandOptions,
  id: string | undefined,
): Promise<CommandResult> =>
  id === undefined
    ? Promise.resolve(usageError('missing argument ID; usage: switchwheel call ID'))
    : requestAndFormat(
        options,
        { method: 'GET', path: `/v1/calls/${encodeURIComponent(id)}` },
        (body) => JSON.stringify(body),
      );

/** Runs one command with its positional arguments; an unknown name is a usage error. */
export const runCommand = async (
  command: string,
  args: readonly string[],
  options: CommandOptions,
): Promise<CommandResult> => {
  switch (command) {
    case 'check':
      return checkFile(options, args[0]);
    case 'import':
      return importFile(options, args[0]);
    case 'apply':
      return applyFile(options, args[0]);
    case 'diff':
      return diffAgainstCurrent(options, args[0]);
    case 'show':
      return showConfiguration(options);
    case 'status':
      return showStatus(options);
    case 'rollouts':
      return showRollouts(options);
    case 'release':
      return requestRelease(options, args[0], args[1]);
    case 'releases':
      return showReleases(options);
    case 'purge':
      return purge(options, args);
    case 'call':
      return showCommandOutcome(options, args[0]);
    case 'found':
      return bootstrapFleet(options, args[0]);
    case 'voter':
      return changeVoter(options, args[0], args[1]);
    default:
      return usageError(`unknown command ${command}; see switchwheel --help`);
  }
};
