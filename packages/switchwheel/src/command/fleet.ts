/** The commands `found` and `voter`: who makes up the fleet's replicated core. */

import { randomUUID } from 'node:crypto';
import { type CommandOptions, type CommandResult, wrongUse } from './command-result.js';
import { listMember, memberOf, toText } from './json-text.js';
import { requestAndShow } from './registry-request.js';

/** How many characters of a random UUID make the name of a fleet unique. */
const fleetSuffixLength = 8;

/** `found NAME`: founds a fleet on the stores and voters that are given, or on all that are connected. */
export const foundFleet = (
  options: CommandOptions,
  name: string | undefined,
): Promise<CommandResult> => {
  if (name === undefined) return Promise.resolve(wrongUse('found needs a name for the fleet'));
  const body = JSON.stringify({
    fleet: `${name}.${randomUUID().slice(0, fleetSuffixLength)}`,
    stores: options.stores,
    voters: options.voters,
  });
  return requestAndShow(options, { method: 'POST', path: '/v1/fleet', body }, (reply) => {
    const stores = listMember(reply, 'stores').map(toText).join(' and ');
    const voters = listMember(reply, 'voters').map(toText).join(', ');
    return `founded on ${stores}; voters ${voters}`;
  });
};

/** `voter add|remove NODE`: changes the electorate by one registry. */
export const changeVoter = (
  options: CommandOptions,
  change: string | undefined,
  node: string | undefined,
): Promise<CommandResult> => {
  if ((change !== 'add' && change !== 'remove') || node === undefined)
    return Promise.resolve(wrongUse('voter add NODE, or voter remove NODE'));
  const body = JSON.stringify({
    [change]: node,
    ...(options.id === undefined ? {} : { id: options.id }),
  });
  return requestAndShow(options, { method: 'POST', path: '/v1/electorate', body }, (reply) => {
    const members = listMember(memberOf(reply, 'electorate'), 'members');
    return `accepted: ${members.map((member) => toText(memberOf(member, 'node'))).join(', ')}`;
  });
};
