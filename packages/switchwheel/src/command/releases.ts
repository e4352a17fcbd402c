/** The commands `releases` and `release`: rollouts of a service's releases and their canary results. */

import { randomUUID } from 'node:crypto';
import { callRegistry } from '../registry-client/registry-client.js';
import { type CommandOptions, type CommandResult, wrongUse } from './command-result.js';
import { formatTable, listMember, memberOf, textsOf, toText } from './json-text.js';
import { requestAndShow, unanswered } from './registry-request.js';

const seconds = (ms: unknown): number => Math.round(Number(ms) / 1000);

const releaseRequestTable = (body: unknown): string =>
  formatTable(
    ['service', 'settled', 'target', 'phase', 'share', 'spent', 'why'],
    listMember(body, 'releases').map((request) => [
      ...textsOf(request, ['service', 'settled', 'target', 'phase', 'share']),
      `${seconds(memberOf(request, 'spentMs'))}/${seconds(memberOf(request, 'spanMs'))} s`,
      toText(memberOf(request, 'text')),
    ]),
  );

const canaryResultTable = (body: unknown, origins: readonly unknown[]): string => {
  const liveOrigins = (result: unknown): number =>
    origins.filter(
      (origin) =>
        memberOf(origin, 'service') === memberOf(result, 'service') &&
        memberOf(origin, 'release') === memberOf(result, 'release') &&
        memberOf(origin, 'state') === 'up',
    ).length;
  return formatTable(
    ['service', 'release', 'verdict', 'spent', 'bad', 'origins up'],
    listMember(body, 'verdicts').map((result) => [
      ...textsOf(result, ['service', 'release', 'state', 'spent', 'bad']),
      String(liveOrigins(result)),
    ]),
  );
};

/** `releases`: rollout requests, and the canary result of each release with its live origins. */
export const showReleases = async (options: CommandOptions): Promise<CommandResult> => {
  const fleet = await callRegistry(options.target, { method: 'GET', path: '/v1/fleet' });
  if (fleet.isErr) return unanswered(fleet.error);
  const origins = listMember(fleet.value.body, 'origins');
  const requests = await callRegistry(options.target, { method: 'GET', path: '/v1/releases' });
  const requestTable =
    requests.isOk && requests.value.status === 200 && !options.json
      ? `${releaseRequestTable(requests.value.body)}\n\n`
      : '';
  return requestAndShow(
    options,
    { method: 'GET', path: '/v1/verdicts' },
    (body) => requestTable + canaryResultTable(body, origins),
  );
};

/** Milliseconds of a duration as operators write it: `16s`, `500ms`, `2m`. */
const parseDurationMs = (raw: string): number | undefined => {
  const [, amount, unit] = /^(\d+(?:\.\d+)?)(ms|s|m)$/.exec(raw) ?? [];
  if (amount === undefined) return undefined;
  return Number(amount) * (unit === 'ms' ? 1 : unit === 's' ? 1000 : 60_000);
};

/** `release SERVICE TARGET`: asks for a service to be moved to the origins of a release. */
export const requestRelease = (
  options: CommandOptions,
  service: string | undefined,
  target: string | undefined,
): Promise<CommandResult> => {
  const spanMs = parseDurationMs(options.span);
  if (service === undefined || target === undefined)
    return Promise.resolve(wrongUse('release SERVICE TARGET'));
  if (spanMs === undefined)
    return Promise.resolve(wrongUse(`--span ${options.span}: a span such as 16s, 500ms or 2m`));
  const id = options.id ?? randomUUID();
  return requestAndShow(
    options,
    { method: 'POST', path: '/v1/releases', body: JSON.stringify({ id, service, target, spanMs }) },
    (body) =>
      `accepted: ${toText(memberOf(body, 'service'))} moves to ${toText(memberOf(body, 'target'))} (id ${id})`,
  );
};
