/** Commands `found` and `voter`: bootstrap of a fleet, and changes of its electorate. */

import { randomUUID } from 'node:crypto';
import { type CommandOptions, type CommandResult, usageError } from './command-result.js';
import { listProperty, propertyOf, toText } from './json-text.js';
import { requestAndFormat } from './registry-request.js';

/** Characters of a random UUID that are appended to the name of a fleet to make it unique. */
const fleetSuffixCharacters = 8;

/** Runs `found NAME`: bootstraps a fleet on the given stores and voters, by default on all that are connected. */
export const bootstrapFleet = (
  options: CommandOptions,
  name: string | undefined,
): Promise<CommandResult> => {
  if (name === undefined)
    return Promise.resolve(usageError('missing argument NAME; usage: switchwheel found NAME'));
  const body = JSON.stringify({
    fleet: `${name}.${randomUUID().slice(0, fleetSuffixCharacters)}`,
    stores: options.stores,
    voters: options.voters,
  });
  return requestAndFormat(options, { method: 'POST', path: '/v1/fleet', body }, (reply) => {
    const stores = listProperty(reply, 'stores').map(toText).join(' and ');
    const voters = listProperty(reply, 'voters').map(toText).join(', ');
    return `bootstrapped on ${stores}; voters ${voters}`;
  });
};

/** Runs `voter add|remove NODE`: adds a registry to the electorate, or removes one. */
export const changeVoter = (
  options: CommandOptions,
  change: string | undefined,
  node: string | undefined,
): Promise<CommandResult> => {
  if ((change !== 'add' && change !== 'remove') || node === undefined)
    return Promise.resolve(
      usageError(
        'invalid arguments; usage: switchwheel voter add NODE, or switchwheel voter remove NODE',
      ),
    );
  const body = JSON.stringify({
    [change]: node,
    ...(options.id === undefined ? {} : { id: options.id }),
  });
  return requestAndFormat(options, { method: 'POST', path: '/v1/electorate', body }, (reply) => {
    const members = listProperty(propertyOf(reply, 'electorate'), 'members');
    return `accepted; voters ${members.map((member) => toText(propertyOf(member, 'node'))).join(', ')}`;
  });
};
