/** Guards the validation of input from operators, clients and peers, on a fleet of real processes. */

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
import type { Fleet } from '../fleet/fleet.js';
import type { Machine } from '../fleet/machine.js';
import { waitUntil } from '../fleet/wait.js';
import { objectBytes } from '../origin/content.js';
import { errorKindOf, sendToEdge } from './edge-request.test-support.js';
import { runOperatorCommand } from './operator-command.js';
import { startFleet } from './fleet-setup.js';
import { readFleetView } from './fleet-view.js';

const repositoryPath = (path: string): string =>
  fileURLToPath(new URL(`../../../../${path}`, import.meta.url));
const folder = mkdtempSync(join(tmpdir(), 'devfleet-'));
let fleet: Fleet;
let plan: DeploymentPlan;
let edge: Machine;

before(async () => {
  const planResult = readDeploymentPlan(repositoryPath('examples/mallgyeol/devfleet.json'));
  assert.ok(planResult.isOk);
  plan = {
    ...planResult.value,
    deployment: { ...planResult.value.deployment, edges: 1, shields: 1 },
  };
  fleet = await startFleet(plan, folder, () => undefined);
  const first = fleet.edges[0];
  assert.ok(first !== undefined);
  edge = first;
});
after(async () => {
  await fleet.stop();
  rmSync(folder, { recursive: true, force: true });
});

const registryAddress = (): string => fleet.registries[0] ?? '';
const ask = (path: string, options: Record<string, unknown> = {}): Promise<Response<Buffer>> =>
  sendToEdge(edge, path, options);

/** Sends raw text on a TCP connection and collects the response until the connection closes. */
const sendRaw = (
  address: string,
  text: string,
  writeMore?: (write: (text: string) => void) => void,
): Promise<string> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const socket = createConnection({ host: host ?? '', port: Number(port) });
    const parts: Buffer[] = [];
    socket.on('data', (part) => parts.push(part));
    socket.on('close', () => resolve(Buffer.concat(parts).toString()));
    socket.on('error', (error) =>
      parts.length > 0 ? resolve(Buffer.concat(parts).toString()) : reject(error),
    );
    socket.write(text);
    writeMore?.((next) => {
      if (socket.writable) socket.write(next);
    });
  });

const changedConfiguration = (
  edit: (copy: { classes: Record<string, unknown>[]; routes: Record<string, unknown>[] }) => void,
): string => {
  const schema = v.looseObject({
    classes: v.array(v.record(v.string(), v.unknown())),
    routes: v.array(v.record(v.string(), v.unknown())),
  });
  const copy = v.parse(schema, JSON.parse(JSON.stringify(plan.configuration)));
  edit(copy);
  return JSON.stringify(copy);
};
const put = (body: string, query = ''): Promise<Response<string>> =>
  got.put(`http://${registryAddress()}/v1/description${query}`, {
    body,
    retry: { limit: 0 },
    throwHttpErrors: false,
  });
const generation = async (): Promise<number> => (await readFleetView(fleet))?.generation ?? -1;

void test('an invalid configuration is rejected with every error and its path, and the one in force stays', async () => {
  const generationInForce = await generation();
  const reply = await put(
    changedConfiguration((copy) => {
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
    .faults.map((fault) => fault.path);
  for (const path of ['classes.0.share', 'routes.1.prefix', 'routes.2.timeoutMs'])
    assert.ok(faults.includes(path), `${path} in ${faults.join(', ')}`);
  assert.equal(await generation(), generationInForce);
  const cross = await put(
    changedConfiguration((copy) => {
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
  assert.equal(await generation(), generationInForce);
});

void test('a stale base generation is rejected with the one in force, and a repeated command has the same outcome', async () => {
  const generationInForce = await generation();
  const stale = await put(JSON.stringify(plan.configuration), `?base=${generationInForce + 7}`);
  assert.equal(stale.statusCode, 409);
  assert.equal(
    v.parse(v.object({ generation: v.number() }), JSON.parse(stale.body)).generation,
    generationInForce,
  );
  const [first, repeated] = [
    await put(JSON.stringify(plan.configuration), `?base=${generationInForce}&id=twice`),
    await put(JSON.stringify(plan.configuration), `?base=${generationInForce}&id=twice`),
  ];
  assert.equal(first.statusCode, 200);
  assert.equal(repeated.body, first.body);
  const outcome = await got(`http://${registryAddress()}/v1/calls/twice`, { retry: { limit: 0 } });
  assert.equal(outcome.body, first.body);
  const unknownCommand = await got(`http://${registryAddress()}/v1/calls/never`, {
    retry: { limit: 0 },
    throwHttpErrors: false,
  });
  assert.equal(unknownCommand.statusCode, 404);
});

void test('unknown routes, disallowed methods, oversized and ambiguous requests get the matching 4xx status', async () => {
  assert.equal((await ask('/nowhere')).statusCode, 404);
  const method = await ask('/clips/1', { method: 'DELETE' });
  assert.deepEqual([method.statusCode, method.headers.allow], [405, 'GET, HEAD']);
  const largeBody = await sendRaw(
    edge.httpAddress,
    `POST /consent/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5000000\r\n\r\n`,
  );
  assert.match(largeBody, /^HTTP\/1\.1 413 /);
  const ambiguousLength = await sendRaw(
    edge.httpAddress,
    'POST /consent/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
  );
  assert.match(ambiguousLength, /^HTTP\/1\.1 400 /);
  const conflictingLengths = await sendRaw(
    edge.httpAddress,
    'POST /consent/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello',
  );
  assert.match(conflictingLengths, /^HTTP\/1\.1 400 /);
  const missingHost = await sendRaw(edge.httpAddress, 'GET /clips/1 HTTP/1.1\r\n\r\n');
  assert.match(missingHost, /^HTTP\/1\.1 400 /);
  const largeHeaders = await sendRaw(
    edge.httpAddress,
    `GET /clips/1 HTTP/1.1\r\nhost: x\r\nx-fill: ${'a'.repeat(40_000)}\r\n\r\n`,
  );
  assert.match(largeHeaders, /^HTTP\/1\.1 431 /);
  assert.match(await sendRaw(edge.httpAddress, 'rubbish\r\n\r\n'), /^HTTP\/1\.1 400 /);
});

void test('clients that send headers or bodies too slowly get 408', async () => {
  const [headers, body] = await Promise.all([
    sendRaw(edge.httpAddress, 'GET /clips/1 HTTP/1.1\r\nhost: x\r\n'),
    sendRaw(
      edge.httpAddress,
      'POST /consent/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nab',
    ),
  ]);
  assert.match(headers, /^HTTP\/1\.1 408 /);
  assert.match(body, /^HTTP\/1\.1 408 /);
});

void test('range requests, conditional requests and responses too large for the cache are served correctly', async () => {
  const path = '/clips/77';
  const whole = await ask(`${path}?size=50000`);
  assert.ok(whole.rawBody.equals(objectBytes(path, 0, 50_000)));
  const cached = await ask(`${path}?size=50000`);
  assert.equal(cached.headers['switchwheel-from'], 'edge');
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
  const notModified = await ask(`${path}?size=50000`, {
    headers: { 'if-none-match': whole.headers.etag ?? '' },
  });
  assert.deepEqual([notModified.statusCode, notModified.rawBody.length], [304, 0]);
  const head = await ask(`${path}?size=50000`, { method: 'HEAD' });
  assert.deepEqual([head.statusCode, head.headers['content-length']], [200, '50000']);
  const size = 9 * 1024 * 1024;
  const uncacheable = await ask(`/search/1?size=${size}`);
  assert.ok(uncacheable.rawBody.equals(objectBytes('/search/1', 0, size)));
});

void test('a client gets an error, never the body of an origin that corrupts, truncates or answers as another instance', async () => {
  const origins = fleet.origins.filter((origin) => origin.group.service === 'tags');
  const setFaults = (faults: object): Promise<unknown> =>
    Promise.all(
      origins.map((origin) =>
        got.post(`http://${origin.controlAddress}/mood`, { json: faults, retry: { limit: 0 } }),
      ),
    );
  for (const faults of [{ corruptShare: 1 }, { cutShare: 1 }, { wrongName: true }]) {
    await setFaults(faults);
    const reply = await ask('/search/5?size=3000');
    assert.ok([502, 503, 504].includes(reply.statusCode), String(reply.statusCode));
    assert.ok(['unknown', 'rejected'].includes(errorKindOf(reply.rawBody)));
    await setFaults({ corruptShare: 0, cutShare: 0, wrongName: false });
  }
});

void test('a connection that sends invalid frames to a control address is closed and counted', async () => {
  const view = await got(`http://${registryAddress()}/v1/fleet`, { retry: { limit: 0 } });
  const address =
    v
      .parse(
        v.looseObject({ nodes: v.array(v.looseObject({ node: v.string(), address: v.string() })) }),
        JSON.parse(view.body),
      )
      .nodes.find((session) => session.node === edge.name)?.address ?? '';
  await sendRaw(address, 'GET / HTTP/1.1\r\n\r\n');
  await sendRaw(address, '\0\0\0\x04\0\0\0\0abcd');
  const metrics = await got(`http://${edge.adminAddress}/metrics`, { retry: { limit: 0 } });
  assert.match(metrics.body, /switchwheel_foreign_channels_total [2-9]/);
});

void test('invalid settings end a program with exit code 2 and a line for each error', async () => {
  const run = (
    name: string,
    args: readonly string[],
  ): Promise<{ readonly code: number; readonly stderr: string }> =>
    new Promise((resolve) => {
      execFile(
        process.execPath,
        [repositoryPath(`packages/${name}/bin/${name}.js`), ...args],
        (error, _, stderr) =>
          resolve({ code: typeof error?.code === 'number' ? error.code : 0, stderr }),
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
    assert.ok(proxy.stderr.includes(`proxy: ${name}`), `${name} in ${proxy.stderr}`);
  writeFileSync(join(folder, 'boot.json'), '{"node": "x", ');
  assert.match((await run('store', ['--boot', join(folder, 'boot.json')])).stderr, /is not JSON/);
  assert.equal((await run('registry', ['--boot', join(folder, 'absent.json')])).code, 2);
});

void test('the commands of switchwheel print their results and exit with the documented codes', async () => {
  const sw = (...args: readonly string[]): ReturnType<typeof runOperatorCommand> =>
    runOperatorCommand(fleet.registries, args);
  const invalidFile = join(folder, 'odd.json');
  writeFileSync(
    invalidFile,
    changedConfiguration((copy) => {
      Object.assign(copy.classes[0] ?? {}, { share: 3 });
    }),
  );
  const checked = await sw('check', invalidFile);
  assert.deepEqual(
    [checked.exitCode, checked.stderr.includes('classes.0.share: at most 1')],
    [1, true],
  );
  assert.equal((await sw('check', plan.configurationFile)).exitCode, 0);
  assert.equal((await sw('check', join(folder, 'none.json'))).exitCode, 2);
  const changedFile = join(folder, 'other.json');
  writeFileSync(
    changedFile,
    changedConfiguration((copy) => {
      copy.routes.pop();
    }),
  );
  assert.equal((await sw('diff', changedFile)).stdout.trim(), '- routes.search');
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

void test('a store discards a damaged data file and is resynced by the primary', async () => {
  const storeViewSchema = v.looseObject({
    store: v.string(),
    metadata: v.looseObject({ inSyncSet: v.array(v.string()) }),
  });
  const stores = async (): Promise<
    { readonly primary: string; readonly inSyncSet: number } | undefined
  > => {
    const parsed = v.safeParse(storeViewSchema, await fleet.readView('/v1/store'));
    return parsed.success
      ? { primary: parsed.output.store, inSyncSet: parsed.output.metadata.inSyncSet.length }
      : undefined;
  };
  assert.ok(
    await waitUntil(60_000, async () => (await stores())?.inSyncSet === 2),
    'the stores did not get in sync',
  );
  const initial = await stores();
  const backup = fleet.machines.find(
    (machine) => machine.kind === 'store' && machine.name !== initial?.primary,
  );
  assert.ok(backup !== undefined);
  const storeProcess = fleet.process(backup.name);
  await storeProcess.stop('SIGKILL');
  const path = join(folder, 'data', backup.name, 'table.lmdb');
  const bytes = readFileSync(path);
  // Corrupts every copy of a word in the stored configuration.
  for (let at = bytes.indexOf('playback'); at >= 0; at = bytes.indexOf('playback', at + 1))
    bytes[at] = 0x50;
  writeFileSync(path, bytes);
  await storeProcess.start();
  const isReady = async (): Promise<boolean> =>
    (
      await got(`http://${backup.adminAddress}/ready`, {
        retry: { limit: 0 },
        throwHttpErrors: false,
      })
    ).statusCode === 200;
  assert.ok(await waitUntil(60_000, isReady), 'the store did not become ready again');
  assert.ok(
    await waitUntil(60_000, async () => (await stores())?.inSyncSet === 2),
    'the store did not rejoin the in-sync set',
  );
  const log = readFileSync(join(folder, 'log', `${backup.name}.log`), 'utf8');
  assert.match(log, /the disk is damaged: nothing of it is used/);
  await storeProcess.stop('SIGKILL');
  await storeProcess.start();
  assert.ok(await waitUntil(60_000, isReady), 'the store did not start from the resynced disk');
  const lines = readFileSync(join(folder, 'log', `${backup.name}.log`), 'utf8')
    .split('\n')
    .filter((line) => line.includes('the disk is damaged'));
  assert.equal(lines.length, 1, lines.join(' '));
});

void test('the query shell runs a query, and lists silent registries and missing data while the store machines are down', async () => {
  const runQuery = (
    ...args: readonly string[]
  ): Promise<{ readonly code: number; readonly stdout: string; readonly stderr: string }> =>
    new Promise((resolve) => {
      execFile(
        process.execPath,
        [
          repositoryPath('packages/query-shell/bin/query-shell.js'),
          '-r',
          fleet.registries.join(','),
          '--json',
          ...args,
        ],
        (error, stdout, stderr) =>
          resolve({ code: typeof error?.code === 'number' ? error.code : 0, stdout, stderr }),
      );
    });
  const resultSchema = v.object({
    rows: v.array(v.record(v.string(), v.unknown())),
    registries: v.number(),
    oldestMs: v.number(),
    silent: v.array(v.string()),
    missing: v.array(v.string()),
  });
  const nodes = await runQuery('nodes | where role = edge | select node ready');
  assert.deepEqual(
    [nodes.code, v.parse(resultSchema, JSON.parse(nodes.stdout)).rows],
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
    const result = v.parse(resultSchema, JSON.parse((await runQuery(table)).stdout));
    assert.deepEqual(
      [table, result.rows.length > 0, result.silent, result.missing],
      [table, true, [], []],
    );
  }
  const misspelled = await runQuery('nodes | where rolle = edge');
  assert.deepEqual([misspelled.code, misspelled.stderr.includes('did you mean role?')], [2, true]);
  const stores = fleet.machines.filter((machine) => machine.kind === 'store');
  await Promise.all(
    stores.flatMap((store) => store.processes).map((process) => process.stop('SIGKILL')),
  );
  const rollouts = v.parse(resultSchema, JSON.parse((await runQuery('rollouts')).stdout));
  assert.ok(
    rollouts.missing.length === 1 && rollouts.silent.length === 2,
    JSON.stringify(rollouts),
  );
  const edges = v.parse(
    resultSchema,
    JSON.parse((await runQuery('nodes | where role = edge')).stdout),
  );
  assert.equal(edges.rows.length, 1);
});
