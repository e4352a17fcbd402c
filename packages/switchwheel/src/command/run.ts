import { readFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import { type Result, err, ok } from 'true-myth/result';
import { noGeneration, toHash } from '@switchwheel/types';
import { buildConfiguration, splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { convertNginx, readNginx } from '@switchwheel/config-import';
import {
  type RegistryTarget,
  type RegistryReply,
  type RegistryRequest,
  callRegistry,
} from '../registry-client/registry-client.js';
import { diffConfigurations, formatDiff } from './diff.js';
import { memberOf, listMember, errorText, formatTable, toText } from './json-text.js';

/** What a command prints and how the program ends. */
export interface CommandResult {
  readonly exitCode: 0 | 1 | 2;
  readonly stdout: string;
  readonly stderr: string;
}
export interface CommandOptions {
  readonly target: RegistryTarget;
  readonly json: boolean;
  readonly base: number | undefined;
  readonly force: boolean;
  readonly id: string | undefined;
  readonly host: string | undefined;
  readonly tags: readonly string[];
  readonly all: boolean;
  readonly strict: boolean;
  readonly stores: readonly string[];
  readonly voters: readonly string[];
  readonly waitMs: number;
  /** The span of an order to move to a release, as written: `16s`, `500ms`. */
  readonly span: string;
}

const success = (stdout: string): CommandResult => ({ exitCode: 0, stdout, stderr: '' });
const failure = (stderr: string): CommandResult => ({ exitCode: 1, stdout: '', stderr });
const wrongUse = (stderr: string): CommandResult => ({ exitCode: 2, stdout: '', stderr });

const readJsonFile = (file: string | undefined): Result<unknown, string> => {
  if (file === undefined) return err('which file?');
  let raw: string;
  try {
    raw = readFileSync(file === '-' ? 0 : file, 'utf8');
  } catch {
    return err(`${file}: can't be read`);
  }
  try {
    const value: unknown = JSON.parse(raw);
    return ok(value);
  } catch (problem) {
    return err(`${file}: not JSON: ${problem instanceof Error ? problem.message : 'unreadable'}`);
  }
};

const requestAndShow = async (
  options: CommandOptions,
  request: RegistryRequest,
  format: (body: unknown) => string,
): Promise<CommandResult> => {
  const reply = await callRegistry(options.target, request);
  if (reply.isErr) return failure(`no registry answers: ${reply.error}`);
  return resultOfReply(options, reply.value, format);
};

const resultOfReply = (
  options: CommandOptions,
  reply: RegistryReply,
  format: (body: unknown) => string,
): CommandResult => {
  const fine = reply.status < 300;
  if (options.json)
    return { exitCode: fine ? 0 : 1, stdout: JSON.stringify(reply.body), stderr: '' };
  return fine ? success(format(reply.body)) : failure(errorText(reply.body));
};

const checkConfiguration = (raw: unknown): CommandResult | undefined => {
  const bundle = runToCompletion(splitIntoChunks(raw));
  const faults = bundle.isErr ? bundle.error : undefined;
  const built = bundle.isErr
    ? undefined
    : runToCompletion(
        buildConfiguration(
          bundle.value.chunkHashes.map((hash) => bundle.value.chunks.get(hash) ?? ''),
          noGeneration,
          toHash(bundle.value.hash),
        ),
      );
  const all = faults ?? (built?.isErr === true ? built.error : undefined);
  return all === undefined
    ? undefined
    : {
        exitCode: 1,
        stdout: '',
        stderr: errorText({
          kind: 'invalid',
          text: 'the description is refused whole',
          faults: all,
        }),
      };
};

const checkFile = (options: CommandOptions, file: string | undefined): CommandResult => {
  const raw = readJsonFile(file);
  if (raw.isErr) return wrongUse(raw.error);
  const found = checkConfiguration(raw.value);
  if (found !== undefined)
    return options.json
      ? {
          ...found,
          stdout: JSON.stringify({
            kind: 'invalid',
            faults: found.stderr
              .split('\n')
              .slice(1)
              .map((one) => one.trim()),
          }),
          stderr: '',
        }
      : found;
  return success(options.json ? JSON.stringify({ kind: 'fits' }) : 'fits');
};

const importFile = (options: CommandOptions, file: string | undefined): CommandResult => {
  if (file === undefined) return wrongUse('which file?');
  const read = readNginx(file);
  if (read.isErr) return wrongUse(`${read.error.file}:${read.error.line}: ${read.error.text}`);
  const { description, skipped } = convertNginx(read.value);
  const faults = checkConfiguration(description);
  if (faults !== undefined)
    return {
      exitCode: 1,
      stdout: '',
      stderr: `what was read makes no description\n${faults.stderr}`,
    };
  const notes = skipped
    .map((one) => `${one.file}:${one.line}: not carried over: ${one.name} (${one.reason})`)
    .join('\n');
  if (options.strict && skipped.length > 0)
    return failure(`${notes}\n${skipped.length} directives were not carried over`);
  return { exitCode: 0, stdout: JSON.stringify(description, null, 2), stderr: notes };
};

const readConfiguration = async (options: CommandOptions): Promise<Result<RegistryReply, string>> =>
  callRegistry(options.target, { method: 'GET', path: '/v1/description' });

const delay = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** Waits until every node in touch reports the generation, or time is over. */
const waitUntilInForce = async (options: CommandOptions, generation: number): Promise<string> => {
  const since = performance.now();
  let behind: readonly string[] = [];
  while (performance.now() - since < options.waitMs) {
    const reply = await callRegistry(options.target, { method: 'GET', path: '/v1/fleet' });
    const nodes = reply.isOk
      ? listMember(reply.value.body, 'nodes').filter(
          (one) =>
            memberOf(one, 'open') === true &&
            ['edge', 'shield'].includes(toText(memberOf(one, 'role'))),
        )
      : [];
    behind = nodes
      .filter((one) => Number(memberOf(one, 'generation')) < generation)
      .map((one) => toText(memberOf(one, 'node')));
    if (nodes.length > 0 && behind.length === 0)
      return `in force on ${nodes.length} nodes after ${Math.round(performance.now() - since)} ms`;
    await delay(50);
  }
  return `not yet in force on: ${behind.join(', ') || 'no node in touch'}`;
};

const applyFile = async (
  options: CommandOptions,
  file: string | undefined,
): Promise<CommandResult> => {
  const raw = readJsonFile(file);
  if (raw.isErr) return wrongUse(raw.error);
  let base = options.base;
  if (base === undefined && !options.force) {
    // The generation alone: the description in force may be too large for one frame.
    const now = await callRegistry(options.target, { method: 'GET', path: '/v1/store' });
    if (now.isErr) return failure(`no registry answers: ${now.error}`);
    if (now.value.status !== 200) return resultOfReply(options, now.value, () => '');
    base = Number(memberOf(now.value.body, 'generation'));
  }
  const id = options.id ?? randomUUID();
  const query = new URLSearchParams({ id, ...(base === undefined ? {} : { base: String(base) }) });
  const reply = await callRegistry(options.target, {
    method: 'PUT',
    path: `/v1/description?${query.toString()}`,
    body: JSON.stringify(raw.value),
  });
  if (reply.isErr) return failure(`no registry answers; ask again with --id ${id}: ${reply.error}`);
  if (reply.value.status !== 200) return resultOfReply(options, reply.value, () => '');
  const generation = Number(memberOf(reply.value.body, 'generation'));
  const force = options.waitMs > 0 ? await waitUntilInForce(options, generation) : '';
  if (options.json)
    return success(
      JSON.stringify({
        ...Object.fromEntries(Object.entries(reply.value.body ?? {})),
        rollout: force,
      }),
    );
  return success(
    `accepted as generation ${generation} (id ${id})${force === '' ? '' : `\n${force}`}`,
  );
};

const diffAgainstCurrent = async (
  options: CommandOptions,
  file: string | undefined,
): Promise<CommandResult> => {
  const raw = readJsonFile(file);
  if (raw.isErr) return wrongUse(raw.error);
  const now = await readConfiguration(options);
  if (now.isErr) return failure(`no registry answers: ${now.error}`);
  if (now.value.status !== 200) return resultOfReply(options, now.value, () => '');
  const changes = diffConfigurations(memberOf(now.value.body, 'description'), raw.value);
  return success(
    options.json
      ? JSON.stringify({ generation: memberOf(now.value.body, 'generation'), changes })
      : formatDiff(changes),
  );
};

const showStatus = (options: CommandOptions): Promise<CommandResult> =>
  requestAndShow(options, { method: 'GET', path: '/v1/fleet' }, (body) => {
    const nodes = listMember(body, 'nodes').map((one) => [
      toText(memberOf(one, 'node')),
      toText(memberOf(one, 'role')),
      toText(memberOf(one, 'area')),
      memberOf(one, 'open') === true ? 'in touch' : 'out of touch',
      toText(memberOf(one, 'generation')),
      toText(memberOf(one, 'phase')),
      toText(memberOf(one, 'ready')),
      toText(memberOf(one, 'registry')),
      `${toText(memberOf(one, 'ageMs'))} ms`,
    ]);
    const holders = listMember(body, 'holders').map((one) => [
      toText(memberOf(one, 'duty')),
      toText(memberOf(one, 'node')),
      toText(memberOf(one, 'epoch')),
    ]);
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

const showReleases = async (options: CommandOptions): Promise<CommandResult> => {
  const fleet = await callRegistry(options.target, { method: 'GET', path: '/v1/fleet' });
  if (fleet.isErr) return failure(`no registry answers: ${fleet.error}`);
  const origins = listMember(fleet.value.body, 'origins');
  const orders = await callRegistry(options.target, { method: 'GET', path: '/v1/releases' });
  const moves =
    orders.isOk && orders.value.status === 200 && !options.json
      ? `${releaseRequestTable(orders.value.body)}\n\n`
      : '';
  return requestAndShow(
    options,
    { method: 'GET', path: '/v1/verdicts' },
    (body) =>
      moves +
      formatTable(
        ['service', 'release', 'verdict', 'spent', 'bad', 'origins up'],
        listMember(body, 'verdicts').map((one) => [
          toText(memberOf(one, 'service')),
          toText(memberOf(one, 'release')),
          toText(memberOf(one, 'state')),
          toText(memberOf(one, 'spent')),
          toText(memberOf(one, 'bad')),
          String(
            origins.filter(
              (row) =>
                memberOf(row, 'service') === memberOf(one, 'service') &&
                memberOf(row, 'release') === memberOf(one, 'release') &&
                memberOf(row, 'state') === 'up',
            ).length,
          ),
        ]),
      ),
  );
};

const parseDurationMs = (raw: string): number | undefined => {
  const [, many, unit] = /^(\d+(?:\.\d+)?)(ms|s|m)$/.exec(raw) ?? [];
  if (many === undefined) return undefined;
  return Number(many) * (unit === 'ms' ? 1 : unit === 's' ? 1000 : 60_000);
};

const requestRelease = (
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

const releaseRequestTable = (body: unknown): string =>
  formatTable(
    ['service', 'settled', 'target', 'phase', 'share', 'spent', 'why'],
    listMember(body, 'releases').map((one) => [
      toText(memberOf(one, 'service')),
      toText(memberOf(one, 'settled')),
      toText(memberOf(one, 'target')),
      toText(memberOf(one, 'phase')),
      toText(memberOf(one, 'share')),
      `${Math.round(Number(memberOf(one, 'spentMs')) / 1000)}/${Math.round(Number(memberOf(one, 'spanMs')) / 1000)} s`,
      toText(memberOf(one, 'text')),
    ]),
  );

const showRollouts = (options: CommandOptions): Promise<CommandResult> =>
  requestAndShow(options, { method: 'GET', path: '/v1/rollouts' }, (body) => {
    const rows = listMember(body, 'rollouts');
    const head = formatTable(
      ['generation', 'status', 'wave', 'troubled', 'targets'],
      rows.map((one) => {
        const count = new Map<string, number>();
        for (const target of listMember(one, 'targets'))
          count.set(
            toText(memberOf(target, 'status')),
            (count.get(toText(memberOf(target, 'status'))) ?? 0) + 1,
          );
        return [
          toText(memberOf(one, 'generation')),
          toText(memberOf(one, 'status')),
          `${Number(memberOf(one, 'wave')) + 1}/${toText(memberOf(one, 'waves'))}`,
          toText(memberOf(one, 'troubled')),
          [...count].map(([name, many]) => `${many} ${name}`).join(', '),
        ];
      }),
    );
    const open = rows.flatMap((one) =>
      listMember(one, 'targets')
        .filter((row) =>
          ['failed', 'skipped', 'pending', 'in_progress'].includes(toText(memberOf(row, 'status'))),
        )
        .map((row) => [
          toText(memberOf(one, 'generation')),
          toText(memberOf(row, 'node')),
          toText(memberOf(row, 'status')),
          toText(memberOf(row, 'text')),
        ]),
    );
    return open.length === 0
      ? head
      : `${head}\n\n${formatTable(['generation', 'node', 'status', 'why'], open)}`;
  });

const purge = (options: CommandOptions, paths: readonly string[]): Promise<CommandResult> => {
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
  const odd = paths.find((path) => !path.startsWith('/'));
  if (odd !== undefined) return Promise.resolve(wrongUse(`${odd}: a path starts with /`));
  const id = options.id ?? randomUUID();
  return requestAndShow(
    options,
    { method: 'POST', path: '/v1/purges', body: JSON.stringify({ id, aims }) },
    (body) =>
      `accepted as purge ${toText(memberOf(body, 'purge'))} of ${toText(memberOf(body, 'aims'))} (id ${id})`,
  );
};

/** Runs one command of the operators' command line. */
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
      return requestAndShow(options, { method: 'GET', path: '/v1/description' }, (body) =>
        JSON.stringify(memberOf(body, 'description'), null, 2),
      );
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
      return args[0] === undefined
        ? wrongUse('which id?')
        : requestAndShow(
            options,
            { method: 'GET', path: `/v1/calls/${encodeURIComponent(args[0])}` },
            (body) => JSON.stringify(body),
          );
    case 'found':
      if (args[0] === undefined) return wrongUse('found needs a name for the fleet');
      return requestAndShow(
        options,
        {
          method: 'POST',
          path: '/v1/fleet',
          body: JSON.stringify({
            fleet: `${args[0]}.${randomUUID().slice(0, 8)}`,
            stores: options.stores,
            voters: options.voters,
          }),
        },
        (body) =>
          `founded on ${listMember(body, 'stores').map(toText).join(' and ')}; voters ${listMember(body, 'voters').map(toText).join(', ')}`,
      );
    case 'voter': {
      const [change, node] = args;
      if ((change !== 'add' && change !== 'remove') || node === undefined)
        return wrongUse('voter add NODE, or voter remove NODE');
      return requestAndShow(
        options,
        {
          method: 'POST',
          path: '/v1/electorate',
          body: JSON.stringify({
            [change]: node,
            ...(options.id === undefined ? {} : { id: options.id }),
          }),
        },
        (body) =>
          `accepted: ${listMember(memberOf(body, 'electorate'), 'members')
            .map((one) => toText(memberOf(one, 'node')))
            .join(', ')}`,
      );
    }
    default:
      return wrongUse(`${command}: no such command; see switchwheel --help`);
  }
};
