import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createConnection } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import got, { type Response } from 'got';
import * as v from 'valibot';
import { type DeploymentPlan, readDeploymentPlan } from '../deployment/schema.js';
import { type Fleet, type Machine, waitUntil } from '../fleet/fleet.js';
import { objectBytes } from '../origin/content.js';
import { collectRuns } from '../report/rules.js';
import { runOperatorCommand } from './operator-command.js';
import { readFleetView, startFleet } from './fleet-setup.js';

const file = (path: string): string =>
  fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
const folder = mkdtempSync(join(tmpdir(), 'devfleet-'));
let fleet: Fleet;
let plan: DeploymentPlan;
let edge: Machine;

before(async () => {
  const read = readDeploymentPlan(file('examples/mallgyeol/devfleet.json'));
  assert.ok(read.isOk);
  plan = { ...read.value, deployment: { ...read.value.deployment, edges: 1, shields: 1 } };
  fleet = await startFleet(plan, folder, () => undefined);
  const first = fleet.edges[0];
  assert.ok(first !== undefined);
  edge = first;
});
after(async () => {
  await fleet.stop();
  rmSync(folder, { recursive: true, force: true });
});

const registry = (): string => fleet.registries[0] ?? '';
const ask = (path: string, options: Record<string, unknown> = {}): Promise<Response<Buffer>> =>
  got(`http://${edge.httpAddress}${path}`, {
    retry: { limit: 0 },
    throwHttpErrors: false,
    decompress: false,
    responseType: 'buffer',
    ...options,
  });

/** Sends raw bytes and collects what comes back until the channel is closed. */
const raw = (
  door: string,
  text: string,
  more?: (write: (text: string) => void) => void,
): Promise<string> =>
  new Promise((done, fail) => {
    const [host, port] = door.split(':');
    const socket = createConnection({ host: host ?? '', port: Number(port) });
    const parts: Buffer[] = [];
    socket.on('data', (part) => parts.push(part));
    socket.on('close', () => done(Buffer.concat(parts).toString()));
    socket.on('error', (fault) =>
      parts.length > 0 ? done(Buffer.concat(parts).toString()) : fail(fault),
    );
    socket.write(text);
    more?.((next) => {
      if (socket.writable) socket.write(next);
    });
  });

const kindOf = (body: Buffer): string =>
  v.parse(v.object({ kind: v.string() }), JSON.parse(body.toString())).kind;
const change = (
  edit: (copy: { classes: Record<string, unknown>[]; routes: Record<string, unknown>[] }) => void,
): string => {
  const form = v.looseObject({
    classes: v.array(v.record(v.string(), v.unknown())),
    routes: v.array(v.record(v.string(), v.unknown())),
  });
  const copy = v.parse(form, JSON.parse(JSON.stringify(plan.configuration)));
  edit(copy);
  return JSON.stringify(copy);
};
const put = (body: string, query = ''): Promise<Response<string>> =>
  got.put(`http://${registry()}/v1/description${query}`, {
    body,
    retry: { limit: 0 },
    throwHttpErrors: false,
  });
const generation = async (): Promise<number> => (await readFleetView(fleet))?.generation ?? -1;

void test('an invalid description is refused whole, with every fault and its path, and the one in force stays', async () => {
  const held = await generation();
  const reply = await put(
    change((copy) => {
      const [first, second, third] = copy.routes;
      Object.assign(first ?? {}, { class: 'nobody' });
      Object.assign(second ?? {}, { prefix: 'no-slash' });
      Object.assign(third ?? {}, { service: 'nowhere', timeoutMs: -1 });
      Object.assign(copy.classes[0] ?? {}, { share: 3, lendsTo: ['nobody'] });
      copy.routes.push({
        name: 'again',
        prefix: '/consent/',
        methods: ['POST'],
        service: 'consent',
        class: 'consent',
      });
    }),
  );
  assert.equal(reply.statusCode, 422);
  const faults = v
    .parse(
      v.object({ faults: v.array(v.object({ path: v.string(), text: v.string() })) }),
      JSON.parse(reply.body),
    )
    .faults.map((one) => one.path);
  for (const path of ['classes.0.share', 'routes.1.prefix', 'routes.2.timeoutMs'])
    assert.ok(faults.includes(path), `${path} in ${faults.join(', ')}`);
  assert.equal(await generation(), held);
  const cross = await put(
    change((copy) => {
      Object.assign(copy.routes[0] ?? {}, { class: 'nobody' });
      Object.assign(copy.routes[1] ?? {}, { service: 'nowhere' });
      copy.routes.push({
        name: 'again',
        prefix: '/consent/',
        methods: ['POST'],
        service: 'consent',
        class: 'consent',
      });
    }),
  );
  assert.equal(cross.statusCode, 422);
  for (const text of [
    'no class is named nobody',
    'no service is named nowhere',
    'clashes with consent',
  ])
    assert.ok(cross.body.includes(text), text);
  assert.equal((await put('{"format":')).statusCode, 400);
  assert.equal(await generation(), held);
});

void test('a stale base is refused with the generation in force, and a call that is asked twice has one outcome', async () => {
  const held = await generation();
  const stale = await put(JSON.stringify(plan.configuration), `?base=${held + 7}`);
  assert.equal(stale.statusCode, 409);
  assert.equal(
    v.parse(v.object({ generation: v.number() }), JSON.parse(stale.body)).generation,
    held,
  );
  const [one, two] = [
    await put(JSON.stringify(plan.configuration), `?base=${held}&id=twice`),
    await put(JSON.stringify(plan.configuration), `?base=${held}&id=twice`),
  ];
  assert.equal(one.statusCode, 200);
  assert.equal(two.body, one.body);
  const asked = await got(`http://${registry()}/v1/calls/twice`, { retry: { limit: 0 } });
  assert.equal(asked.body, one.body);
  const never = await got(`http://${registry()}/v1/calls/never`, {
    retry: { limit: 0 },
    throwHttpErrors: false,
  });
  assert.equal(never.statusCode, 404);
});

void test('callers: unknown routes, wrong methods, oversized and ambiguous requests get their 4xx', async () => {
  assert.equal((await ask('/nowhere')).statusCode, 404);
  const method = await ask('/clips/1', { method: 'DELETE' });
  assert.deepEqual([method.statusCode, method.headers.allow], [405, 'GET, HEAD']);
  const large = await raw(
    edge.httpAddress,
    `POST /consent/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5000000\r\n\r\n`,
  );
  assert.match(large, /^HTTP\/1\.1 413 /);
  const both = await raw(
    edge.httpAddress,
    'POST /consent/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
  );
  assert.match(both, /^HTTP\/1\.1 400 /);
  const twice = await raw(
    edge.httpAddress,
    'POST /consent/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello',
  );
  assert.match(twice, /^HTTP\/1\.1 400 /);
  const noHost = await raw(edge.httpAddress, 'GET /clips/1 HTTP/1.1\r\n\r\n');
  assert.match(noHost, /^HTTP\/1\.1 400 /);
  const huge = await raw(
    edge.httpAddress,
    `GET /clips/1 HTTP/1.1\r\nhost: x\r\nx-fill: ${'a'.repeat(40_000)}\r\n\r\n`,
  );
  assert.match(huge, /^HTTP\/1\.1 431 /);
  assert.match(await raw(edge.httpAddress, 'rubbish\r\n\r\n'), /^HTTP\/1\.1 400 /);
});

void test('callers that send their headers or their bodies too slowly are ended', async () => {
  const [headers, body] = await Promise.all([
    raw(edge.httpAddress, 'GET /clips/1 HTTP/1.1\r\nhost: x\r\n'),
    raw(edge.httpAddress, 'POST /consent/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nab'),
  ]);
  assert.match(headers, /^HTTP\/1\.1 408 /);
  assert.match(body, /^HTTP\/1\.1 408 /);
});

void test('ranges, conditions and results beyond what is held whole', async () => {
  const path = '/clips/77';
  const whole = await ask(`${path}?size=50000`);
  assert.ok(whole.rawBody.equals(objectBytes(path, 0, 50_000)));
  const again = await ask(`${path}?size=50000`);
  assert.equal(again.headers['switchwheel-from'], 'edge');
  const part = await ask(`${path}?size=50000`, { headers: { range: 'bytes=100-199' } });
  assert.deepEqual(
    [
      part.statusCode,
      part.headers['content-range'],
      part.rawBody.equals(whole.rawBody.subarray(100, 200)),
    ],
    [206, 'bytes 100-199/50000', true],
  );
  assert.equal(
    (await ask(`${path}?size=50000`, { headers: { range: 'bytes=60000-' } })).statusCode,
    416,
  );
  const fresh = await ask(`${path}?size=50000`, {
    headers: { 'if-none-match': whole.headers.etag ?? '' },
  });
  assert.deepEqual([fresh.statusCode, fresh.rawBody.length], [304, 0]);
  const head = await ask(`${path}?size=50000`, { method: 'HEAD' });
  assert.deepEqual([head.statusCode, head.headers['content-length']], [200, '50000']);
  const size = 9 * 1024 * 1024;
  const long = await ask(`/search/1?size=${size}`);
  assert.ok(long.rawBody.equals(objectBytes('/search/1', 0, size)));
});

void test('origins that corrupt, cut or answer for somebody else: the caller gets an unknown outcome, never their bytes', async () => {
  const origins = fleet.origins.filter((one) => one.group.service === 'tags');
  const mood = (change: object): Promise<unknown> =>
    Promise.all(
      origins.map((one) =>
        got.post(`http://${one.controlAddress}/mood`, { json: change, retry: { limit: 0 } }),
      ),
    );
  for (const change of [{ corruptShare: 1 }, { cutShare: 1 }, { wrongName: true }]) {
    await mood(change);
    const reply = await ask('/search/5?size=3000');
    assert.ok([502, 503, 504].includes(reply.statusCode), String(reply.statusCode));
    assert.ok(['unknown', 'rejected'].includes(kindOf(reply.rawBody)));
    await mood({ corruptShare: 0, cutShare: 0, wrongName: false });
  }
});

void test('foreign bytes and unknown protocols on a control address: the channel is dropped and counted', async () => {
  const view = await got(`http://${registry()}/v1/fleet`, { retry: { limit: 0 } });
  const address =
    v
      .parse(
        v.looseObject({ nodes: v.array(v.looseObject({ node: v.string(), address: v.string() })) }),
        JSON.parse(view.body),
      )
      .nodes.find((one) => one.node === edge.name)?.address ?? '';
  await raw(address, 'GET / HTTP/1.1\r\n\r\n');
  await raw(address, '\0\0\0\x04\0\0\0\0abcd');
  const metrics = await got(`http://${edge.adminAddress}/metrics`, { retry: { limit: 0 } });
  assert.match(metrics.body, /switchwheel_foreign_channels_total [2-9]/);
});

void test('broken settings: one line for each fault and exit code 2', async () => {
  const run = (
    name: string,
    args: readonly string[],
  ): Promise<{ readonly code: number; readonly fault: string }> =>
    new Promise((done) => {
      execFile(
        process.execPath,
        [file(`packages/${name}/bin/${name}.js`), ...args],
        (problem, _, fault) =>
          done({ code: typeof problem?.code === 'number' ? problem.code : 0, fault }),
      );
    });
  const proxy = await run('proxy', [
    '--node',
    'bad name',
    '--role',
    'engine',
    '--listen',
    'localhost:1',
    '--seeds',
    '10.0.0.1:1',
    '--seeds',
    'x',
    '--colour',
    'red',
  ]);
  assert.equal(proxy.code, 2);
  for (const name of [
    'node:',
    'role:',
    'listen:',
    'seeds.1:',
    'colour:',
    'area:',
    'door:',
    'admin:',
  ])
    assert.ok(proxy.fault.includes(`proxy: ${name}`), `${name} in ${proxy.fault}`);
  writeFileSync(join(folder, 'boot.json'), '{"node": "x", ');
  assert.match((await run('store', ['--boot', join(folder, 'boot.json')])).fault, /is not JSON/);
  assert.equal((await run('registry', ['--boot', join(folder, 'absent.json')])).code, 2);
});

void test('the command line: check, diff, show, status, rollouts, releases, purge; plain words and exit codes', async () => {
  const sw = (...args: readonly string[]): ReturnType<typeof runOperatorCommand> =>
    runOperatorCommand(fleet.registries, args);
  const odd = join(folder, 'odd.json');
  writeFileSync(
    odd,
    change((copy) => {
      Object.assign(copy.classes[0] ?? {}, { share: 3 });
    }),
  );
  const checked = await sw('check', odd);
  assert.deepEqual(
    [checked.exitCode, checked.stderr.includes('classes.0.share: at most 1')],
    [1, true],
  );
  assert.equal((await sw('check', plan.configurationFile)).exitCode, 0);
  assert.equal((await sw('check', join(folder, 'none.json'))).exitCode, 2);
  const other = join(folder, 'other.json');
  writeFileSync(
    other,
    change((copy) => {
      copy.routes.pop();
    }),
  );
  assert.equal((await sw('diff', other)).stdout.trim(), '- routes.search');
  assert.equal(
    v.parse(v.looseObject({ format: v.number() }), JSON.parse((await sw('show')).stdout)).format,
    1,
  );
  assert.match((await sw('status')).stdout, /keeper:clips/);
  assert.match((await sw('rollouts')).stdout, /generation/);
  assert.match((await sw('releases')).stdout, /clips +r1 +good/);
  assert.match((await sw('purge', '/clips/1', '--tag', 't1')).stdout, /accepted as purge \d+ of 2/);
  assert.equal((await sw('purge')).exitCode, 2);
  assert.equal((await sw('jump')).exitCode, 2);
  const stale = await sw('apply', plan.configurationFile, '--base', '99');
  assert.deepEqual([stale.exitCode, stale.stderr.includes('stale')], [1, true]);
  assert.equal((await runOperatorCommand(['127.0.0.1:1'], ['status'])).exitCode, 1);
});

void test('a damaged disk file: refused with a plain word, then mended from the peer', async () => {
  const view = v.looseObject({
    store: v.string(),
    metadata: v.looseObject({ inSyncSet: v.array(v.string()) }),
  });
  const stores = async (): Promise<
    { readonly primary: string; readonly inSyncSet: number } | undefined
  > => {
    const read = v.safeParse(view, await fleet.readView('/v1/store'));
    return read.success
      ? { primary: read.output.store, inSyncSet: read.output.metadata.inSyncSet.length }
      : undefined;
  };
  assert.ok(
    await waitUntil(60_000, async () => (await stores())?.inSyncSet === 2),
    'both stores in sync',
  );
  const before = await stores();
  const other = fleet.machines.find((one) => one.kind === 'store' && one.name !== before?.primary);
  assert.ok(other !== undefined);
  const child = fleet.process(other.name);
  await child.stop('SIGKILL');
  const path = join(folder, 'data', other.name, 'table.lmdb');
  const bytes = readFileSync(path);
  // Every copy of a word that stands in the stored description is changed.
  for (let at = bytes.indexOf('playback'); at >= 0; at = bytes.indexOf('playback', at + 1))
    bytes[at] = 0x50;
  writeFileSync(path, bytes);
  await child.start();
  const ready = async (): Promise<boolean> =>
    (
      await got(`http://${other.adminAddress}/ready`, {
        retry: { limit: 0 },
        throwHttpErrors: false,
      })
    ).statusCode === 200;
  assert.ok(await waitUntil(60_000, ready), 'in sync again by its own word');
  assert.ok(
    await waitUntil(60_000, async () => (await stores())?.inSyncSet === 2),
    'in sync again',
  );
  const log = readFileSync(join(folder, 'log', `${other.name}.log`), 'utf8');
  assert.match(log, /the disk is damaged: nothing of it is used/);
  await child.stop('SIGKILL');
  await child.start();
  assert.ok(await waitUntil(60_000, ready), 'the mended disk is read');
  const lines = readFileSync(join(folder, 'log', `${other.name}.log`), 'utf8')
    .split('\n')
    .filter((one) => one.includes('the disk is damaged'));
  assert.equal(lines.length, 1, lines.join(' '));
});

void test('overload: refused at once with the kind rejected and when to come back, and nothing refused ran', async () => {
  const answers = await Promise.all(
    Array.from({ length: 900 }, (_, at) =>
      ask(`/consent/${at}`, {
        method: 'POST',
        body: 'x',
        headers: { 'x-request-id': `flood-${at}` },
      }),
    ),
  );
  const rejected = answers.flatMap((one, at) => (one.statusCode === 503 ? [{ one, at }] : []));
  assert.ok(rejected.length > 0 && answers.some((one) => one.statusCode === 200));
  assert.ok(
    rejected.every(
      ({ one }) => kindOf(one.rawBody) === 'rejected' && Number(one.headers['retry-after']) >= 1,
    ),
  );
  const ran = await collectRuns(fleet);
  assert.deepEqual(
    rejected.filter(({ at }) => ran.has(`flood-${at}`)),
    [],
  );
  assert.ok([...ran.values()].every((many) => many === 1));
});

void test('the query shell: answers by one argument, says who is silent and what is missing while the primary and half the core are gone', async () => {
  const box = (
    ...args: readonly string[]
  ): Promise<{ readonly code: number; readonly out: string; readonly fault: string }> =>
    new Promise((done) => {
      execFile(
        process.execPath,
        [
          file('packages/query-shell/bin/query-shell.js'),
          '-r',
          fleet.registries.join(','),
          '--json',
          ...args,
        ],
        (problem, out, fault) =>
          done({ code: typeof problem?.code === 'number' ? problem.code : 0, out, fault }),
      );
    });
  const form = v.object({
    rows: v.array(v.record(v.string(), v.unknown())),
    registries: v.number(),
    oldestMs: v.number(),
    silent: v.array(v.string()),
    missing: v.array(v.string()),
  });
  const nodes = await box('nodes | where role = edge | select node ready');
  assert.deepEqual(
    [nodes.code, v.parse(form, JSON.parse(nodes.out)).rows],
    [0, [{ node: edge.name, ready: true }]],
  );
  for (const table of [
    'duties',
    'registries',
    'generations',
    'rollouts',
    'targets',
    'services',
    'classes',
    'origins',
    'trials',
    'purges',
    'stores',
    'edges',
    'sessions',
    'areas',
  ]) {
    const shown = v.parse(form, JSON.parse((await box(table)).out));
    assert.deepEqual(
      [table, shown.rows.length > 0, shown.silent, shown.missing],
      [table, true, [], []],
    );
  }
  const wrong = await box('nodes | where rolle = edge');
  assert.deepEqual([wrong.code, wrong.fault.includes('did you mean role?')], [2, true]);
  const stores = fleet.machines.filter((one) => one.kind === 'store');
  await Promise.all(stores.flatMap((one) => one.processes).map((one) => one.stop('SIGKILL')));
  const rollouts = v.parse(form, JSON.parse((await box('rollouts')).out));
  assert.ok(
    rollouts.missing.length === 1 && rollouts.silent.length === 2,
    JSON.stringify(rollouts),
  );
  const left = v.parse(form, JSON.parse((await box('nodes | where role = edge')).out));
  assert.equal(left.rows.length, 1);
});
