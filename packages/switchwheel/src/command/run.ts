import { readFileSync } from 'node:fs';
import { randomUUID } from 'node:crypto';
import { type Result, err, ok } from 'true-myth/result';
import { noGeneration, toHash } from '@switchwheel/types';
import { buildConfiguration, splitIntoChunks, runToCompletion } from '@switchwheel/configuration';
import { convertNginx, readNginx } from '@switchwheel/config-import';
import { type Reach, type Reply, type Request, call } from '../call/call.js';
import { diff, diffLines } from './diff.js';
import { at, listAt, refusal, table, text } from './show.js';

/** What a command prints and how the program ends. */
export interface Outcome {
  readonly code: 0 | 1 | 2;
  readonly out: string;
  readonly fault: string;
}
export interface Options {
  readonly reach: Reach;
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

const good = (out: string): Outcome => ({ code: 0, out, fault: '' });
const bad = (fault: string): Outcome => ({ code: 1, out: '', fault });
const wrong = (fault: string): Outcome => ({ code: 2, out: '', fault });

const readFile = (file: string | undefined): Result<unknown, string> => {
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

const ask = async (
  options: Options,
  request: Request,
  show: (body: unknown) => string,
): Promise<Outcome> => {
  const reply = await call(options.reach, request);
  if (reply.isErr) return bad(`no registry answers: ${reply.error}`);
  return shown(options, reply.value, show);
};

const shown = (options: Options, reply: Reply, show: (body: unknown) => string): Outcome => {
  const fine = reply.status < 300;
  if (options.json) return { code: fine ? 0 : 1, out: JSON.stringify(reply.body), fault: '' };
  return fine ? good(show(reply.body)) : bad(refusal(reply.body));
};

const checkHere = (raw: unknown): Outcome | undefined => {
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
        code: 1,
        out: '',
        fault: refusal({ kind: 'invalid', text: 'the description is refused whole', faults: all }),
      };
};

const check = (options: Options, file: string | undefined): Outcome => {
  const raw = readFile(file);
  if (raw.isErr) return wrong(raw.error);
  const found = checkHere(raw.value);
  if (found !== undefined)
    return options.json
      ? {
          ...found,
          out: JSON.stringify({
            kind: 'invalid',
            faults: found.fault
              .split('\n')
              .slice(1)
              .map((one) => one.trim()),
          }),
          fault: '',
        }
      : found;
  return good(options.json ? JSON.stringify({ kind: 'fits' }) : 'fits');
};

const importFile = (options: Options, file: string | undefined): Outcome => {
  if (file === undefined) return wrong('which file?');
  const read = readNginx(file);
  if (read.isErr) return wrong(`${read.error.file}:${read.error.line}: ${read.error.text}`);
  const { description, skipped } = convertNginx(read.value);
  const faults = checkHere(description);
  if (faults !== undefined)
    return { code: 1, out: '', fault: `what was read makes no description\n${faults.fault}` };
  const notes = skipped
    .map((one) => `${one.file}:${one.line}: not carried over: ${one.name} (${one.reason})`)
    .join('\n');
  if (options.strict && skipped.length > 0)
    return bad(`${notes}\n${skipped.length} directives were not carried over`);
  return { code: 0, out: JSON.stringify(description, null, 2), fault: notes };
};

const current = async (options: Options): Promise<Result<Reply, string>> =>
  call(options.reach, { method: 'GET', path: '/v1/description' });

const pause = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

/** Waits until every node in touch reports the generation, or time is over. */
const waitFor = async (options: Options, generation: number): Promise<string> => {
  const since = performance.now();
  let behind: readonly string[] = [];
  while (performance.now() - since < options.waitMs) {
    const reply = await call(options.reach, { method: 'GET', path: '/v1/fleet' });
    const nodes = reply.isOk
      ? listAt(reply.value.body, 'nodes').filter(
          (one) => at(one, 'open') === true && ['edge', 'shield'].includes(text(at(one, 'role'))),
        )
      : [];
    behind = nodes
      .filter((one) => Number(at(one, 'generation')) < generation)
      .map((one) => text(at(one, 'node')));
    if (nodes.length > 0 && behind.length === 0)
      return `in force on ${nodes.length} nodes after ${Math.round(performance.now() - since)} ms`;
    await pause(50);
  }
  return `not yet in force on: ${behind.join(', ') || 'no node in touch'}`;
};

const apply = async (options: Options, file: string | undefined): Promise<Outcome> => {
  const raw = readFile(file);
  if (raw.isErr) return wrong(raw.error);
  let base = options.base;
  if (base === undefined && !options.force) {
    // The generation alone: the description in force may be too large for one frame.
    const now = await call(options.reach, { method: 'GET', path: '/v1/store' });
    if (now.isErr) return bad(`no registry answers: ${now.error}`);
    if (now.value.status !== 200) return shown(options, now.value, () => '');
    base = Number(at(now.value.body, 'generation'));
  }
  const id = options.id ?? randomUUID();
  const query = new URLSearchParams({ id, ...(base === undefined ? {} : { base: String(base) }) });
  const reply = await call(options.reach, {
    method: 'PUT',
    path: `/v1/description?${query.toString()}`,
    body: JSON.stringify(raw.value),
  });
  if (reply.isErr) return bad(`no registry answers; ask again with --id ${id}: ${reply.error}`);
  if (reply.value.status !== 200) return shown(options, reply.value, () => '');
  const generation = Number(at(reply.value.body, 'generation'));
  const force = options.waitMs > 0 ? await waitFor(options, generation) : '';
  if (options.json)
    return good(
      JSON.stringify({
        ...Object.fromEntries(Object.entries(reply.value.body ?? {})),
        rollout: force,
      }),
    );
  return good(`accepted as generation ${generation} (id ${id})${force === '' ? '' : `\n${force}`}`);
};

const compare = async (options: Options, file: string | undefined): Promise<Outcome> => {
  const raw = readFile(file);
  if (raw.isErr) return wrong(raw.error);
  const now = await current(options);
  if (now.isErr) return bad(`no registry answers: ${now.error}`);
  if (now.value.status !== 200) return shown(options, now.value, () => '');
  const changes = diff(at(now.value.body, 'description'), raw.value);
  return good(
    options.json
      ? JSON.stringify({ generation: at(now.value.body, 'generation'), changes })
      : diffLines(changes),
  );
};

const status = (options: Options): Promise<Outcome> =>
  ask(options, { method: 'GET', path: '/v1/fleet' }, (body) => {
    const nodes = listAt(body, 'nodes').map((one) => [
      text(at(one, 'node')),
      text(at(one, 'role')),
      text(at(one, 'area')),
      at(one, 'open') === true ? 'in touch' : 'out of touch',
      text(at(one, 'generation')),
      text(at(one, 'phase')),
      text(at(one, 'ready')),
      text(at(one, 'registry')),
      `${text(at(one, 'ageMs'))} ms`,
    ]);
    const holders = listAt(body, 'holders').map((one) => [
      text(at(one, 'duty')),
      text(at(one, 'node')),
      text(at(one, 'epoch')),
    ]);
    return [
      `fleet ${text(at(body, 'fleet'))}, generation ${text(at(body, 'generation'))}, told by ${text(at(body, 'registry'))}, word of the primary ${text(at(body, 'feedAgeMs'))} ms old`,
      '',
      table(
        ['node', 'role', 'area', 'session', 'generation', 'phase', 'ready', 'registry', 'heard'],
        nodes,
      ),
      '',
      table(['duty', 'holder', 'epoch'], holders),
    ].join('\n');
  });

const releases = async (options: Options): Promise<Outcome> => {
  const fleet = await call(options.reach, { method: 'GET', path: '/v1/fleet' });
  if (fleet.isErr) return bad(`no registry answers: ${fleet.error}`);
  const origins = listAt(fleet.value.body, 'origins');
  const orders = await call(options.reach, { method: 'GET', path: '/v1/releases' });
  const moves =
    orders.isOk && orders.value.status === 200 && !options.json
      ? `${orderTable(orders.value.body)}\n\n`
      : '';
  return ask(
    options,
    { method: 'GET', path: '/v1/verdicts' },
    (body) =>
      moves +
      table(
        ['service', 'release', 'verdict', 'spent', 'bad', 'origins up'],
        listAt(body, 'verdicts').map((one) => [
          text(at(one, 'service')),
          text(at(one, 'release')),
          text(at(one, 'state')),
          text(at(one, 'spent')),
          text(at(one, 'bad')),
          String(
            origins.filter(
              (row) =>
                at(row, 'service') === at(one, 'service') &&
                at(row, 'release') === at(one, 'release') &&
                at(row, 'state') === 'up',
            ).length,
          ),
        ]),
      ),
  );
};

const spanOf = (raw: string): number | undefined => {
  const [, many, unit] = /^(\d+(?:\.\d+)?)(ms|s|m)$/.exec(raw) ?? [];
  if (many === undefined) return undefined;
  return Number(many) * (unit === 'ms' ? 1 : unit === 's' ? 1000 : 60_000);
};

const release = (
  options: Options,
  service: string | undefined,
  target: string | undefined,
): Promise<Outcome> => {
  const spanMs = spanOf(options.span);
  if (service === undefined || target === undefined)
    return Promise.resolve(wrong('release SERVICE TARGET'));
  if (spanMs === undefined)
    return Promise.resolve(wrong(`--span ${options.span}: a span such as 16s, 500ms or 2m`));
  const id = options.id ?? randomUUID();
  return ask(
    options,
    { method: 'POST', path: '/v1/releases', body: JSON.stringify({ id, service, target, spanMs }) },
    (body) =>
      `accepted: ${text(at(body, 'service'))} moves to ${text(at(body, 'target'))} (id ${id})`,
  );
};

const orderTable = (body: unknown): string =>
  table(
    ['service', 'settled', 'target', 'phase', 'share', 'spent', 'why'],
    listAt(body, 'releases').map((one) => [
      text(at(one, 'service')),
      text(at(one, 'settled')),
      text(at(one, 'target')),
      text(at(one, 'phase')),
      text(at(one, 'share')),
      `${Math.round(Number(at(one, 'spentMs')) / 1000)}/${Math.round(Number(at(one, 'spanMs')) / 1000)} s`,
      text(at(one, 'text')),
    ]),
  );

const rollouts = (options: Options): Promise<Outcome> =>
  ask(options, { method: 'GET', path: '/v1/rollouts' }, (body) => {
    const rows = listAt(body, 'rollouts');
    const head = table(
      ['generation', 'status', 'wave', 'troubled', 'targets'],
      rows.map((one) => {
        const count = new Map<string, number>();
        for (const target of listAt(one, 'targets'))
          count.set(text(at(target, 'status')), (count.get(text(at(target, 'status'))) ?? 0) + 1);
        return [
          text(at(one, 'generation')),
          text(at(one, 'status')),
          `${Number(at(one, 'wave')) + 1}/${text(at(one, 'waves'))}`,
          text(at(one, 'troubled')),
          [...count].map(([name, many]) => `${many} ${name}`).join(', '),
        ];
      }),
    );
    const open = rows.flatMap((one) =>
      listAt(one, 'targets')
        .filter((row) =>
          ['failed', 'skipped', 'pending', 'in_progress'].includes(text(at(row, 'status'))),
        )
        .map((row) => [
          text(at(one, 'generation')),
          text(at(row, 'node')),
          text(at(row, 'status')),
          text(at(row, 'text')),
        ]),
    );
    return open.length === 0
      ? head
      : `${head}\n\n${table(['generation', 'node', 'status', 'why'], open)}`;
  });

const purge = (options: Options, paths: readonly string[]): Promise<Outcome> => {
  const aims = [
    ...paths.map((path) => ({
      by: 'object',
      path,
      ...(options.host === undefined ? {} : { host: options.host }),
    })),
    ...options.tags.map((tag) => ({ by: 'tag', tag })),
    ...(options.all ? [{ by: 'all' }] : []),
  ];
  if (aims.length === 0) return Promise.resolve(wrong('purge what? paths, --tag, or --all'));
  const odd = paths.find((path) => !path.startsWith('/'));
  if (odd !== undefined) return Promise.resolve(wrong(`${odd}: a path starts with /`));
  const id = options.id ?? randomUUID();
  return ask(
    options,
    { method: 'POST', path: '/v1/purges', body: JSON.stringify({ id, aims }) },
    (body) =>
      `accepted as purge ${text(at(body, 'purge'))} of ${text(at(body, 'aims'))} (id ${id})`,
  );
};

/** Runs one command of the operators' command line. */
export const run = async (
  command: string,
  rest: readonly string[],
  options: Options,
): Promise<Outcome> => {
  switch (command) {
    case 'check':
      return check(options, rest[0]);
    case 'import':
      return importFile(options, rest[0]);
    case 'apply':
      return apply(options, rest[0]);
    case 'diff':
      return compare(options, rest[0]);
    case 'show':
      return ask(options, { method: 'GET', path: '/v1/description' }, (body) =>
        JSON.stringify(at(body, 'description'), null, 2),
      );
    case 'status':
      return status(options);
    case 'rollouts':
      return rollouts(options);
    case 'release':
      return release(options, rest[0], rest[1]);
    case 'releases':
      return releases(options);
    case 'purge':
      return purge(options, rest);
    case 'call':
      return rest[0] === undefined
        ? wrong('which id?')
        : ask(
            options,
            { method: 'GET', path: `/v1/calls/${encodeURIComponent(rest[0])}` },
            (body) => JSON.stringify(body),
          );
    case 'found':
      if (rest[0] === undefined) return wrong('found needs a name for the fleet');
      return ask(
        options,
        {
          method: 'POST',
          path: '/v1/fleet',
          body: JSON.stringify({
            fleet: `${rest[0]}.${randomUUID().slice(0, 8)}`,
            stores: options.stores,
            voters: options.voters,
          }),
        },
        (body) =>
          `founded on ${listAt(body, 'stores').map(text).join(' and ')}; voters ${listAt(body, 'voters').map(text).join(', ')}`,
      );
    case 'voter': {
      const [change, node] = rest;
      if ((change !== 'add' && change !== 'remove') || node === undefined)
        return wrong('voter add NODE, or voter remove NODE');
      return ask(
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
          `accepted: ${listAt(at(body, 'electorate'), 'members')
            .map((one) => text(at(one, 'node')))
            .join(', ')}`,
      );
    }
    default:
      return wrong(`${command}: no such command; see switchwheel --help`);
  }
};
