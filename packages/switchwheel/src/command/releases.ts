/** Commands `releases` and `release`: release rollouts of services and their canary results. */

import { randomUUID } from 'node:crypto';
import { callRegistry } from '../registry-client/registry-client.js';
import { type CommandOptions, type CommandResult, usageError } from './command-result.js';
import { formatTable, listProperty, propertyOf, propertyTexts, toText } from './json-text.js';
import { requestAndFormat, noResponse } from './registry-request.js';

const toSeconds = (ms: unknown): number => Math.round(Number(ms) / 1000);

const releaseRequestTable = (body: unknown): string =>
  formatTable(
    ['service', 'settled', 'target', 'phase', 'share', 'spent', 'reason'],
    listProperty(body, 'releases').map((request) => [
      ...propertyTexts(request, ['service', 'settled', 'target', 'phase', 'share']),
      `${toSeconds(propertyOf(request, 'spentMs'))}/${toSeconds(propertyOf(request, 'spanMs'))} s`,
      toText(propertyOf(request, 'text')),
    ]),
  );

const canaryResultTable = (body: unknown, origins: readonly unknown[]): string => {
  const countLiveOrigins = (result: unknown): number =>
    origins.filter(
      (origin) =>
        propertyOf(origin, 'service') === propertyOf(result, 'service') &&
        propertyOf(origin, 'release') === propertyOf(result, 'release') &&
        propertyOf(origin, 'state') === 'up',
    ).length;
  return formatTable(
    ['service', 'release', 'result', 'spent', 'bad', 'origins up'],
    listProperty(body, 'verdicts').map((result) => [
      ...propertyTexts(result, ['service', 'release', 'state', 'spent', 'bad']),
      String(countLiveOrigins(result)),
    ]),
  );
};

/** Runs `releases`: lists rollout requests, then canary results with the number of live origins of each release. */
export const showReleases = async (options: CommandOptions): Promise<CommandResult> => {
  const fleet = await callRegistry(options.target, { method: 'GET', path: '/v1/fleet' });
  if (fleet.isErr) return noResponse(fleet.error);
  const origins = listProperty(fleet.value.body, 'origins');
  const requests = await callRegistry(options.target, { method: 'GET', path: '/v1/releases' });
  const requestTable =
    requests.isOk && requests.value.status === 200 && !options.json
      ? `${releaseRequestTable(requests.value.body)}\n\n`
      : '';
  return requestAndFormat(
    options,
    { method: 'GET', path: '/v1/verdicts' },
    (body) => requestTable + canaryResultTable(body, origins),
  );
};

/** Parses a duration such as `1500ms`, `16s` or `2m`; undefined if it is malformed. */
const parseDurationMs = (duration: string): number | undefined => {
  const [, amount, unit] = /^(\d+(?:\.\d+)?)(ms|s|m)$/.exec(duration) ?? [];
  if (amount === undefined) return undefined;
  return Number(amount) * (unit === 'ms' ? 1 : unit === 's' ? 1000 : 60_000);
};

/** Runs `release SERVICE RELEASE`: requests the rollout of a release of a service. */
export const requestRelease = (
  options: CommandOptions,
  service: string | undefined,
  target: string | undefined,
): Promise<CommandResult> => {
  const spanMs = parseDurationMs(options.span);
  if (service === undefined || target === undefined)
    return Promise.resolve(
      usageError('missing argument; usage: switchwheel release SERVICE RELEASE'),
    );
  if (spanMs === undefined)
    return Promise.resolve(
      usageError(
        `--span: invalid duration ${options.span}; expected one such as 1500ms, 16s or 2m`,
      ),
    );
  const id = options.id ?? randomUUID();
  return requestAndFormat(
    options,
    { method: 'POST', path: '/v1/releases', body: JSON.stringify({ id, service, target, spanMs }) },
    (body) =>
      `accepted: ${toText(propertyOf(body, 'service'))} moves to release ${toText(propertyOf(body, 'target'))} (id ${id})`,
  );
};
