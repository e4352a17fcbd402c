import { statSync } from 'node:fs';
import got from 'got';
import * as v from 'valibot';
import { delay } from '../../fleet/fleet.js';
import { runOperatorCommand } from '../operator-command.js';
import { writeChangedConfiguration, writeConfiguration } from '../fleet-setup.js';
import { type FaultScenario, type ScenarioContext, untimedResult } from './scenario.js';
import { generationInForce } from './configuration-change.js';

export const hugeConfiguration = async ({
  fleet,
  plan,
  folder,
  print,
}: ScenarioContext): Promise<void> => {
  const routes = v.parse(
    v.looseObject({ routes: v.array(v.unknown()) }),
    plan.configuration,
  ).routes;
  const first = v.parse(v.looseObject({ service: v.string(), class: v.string() }), routes[0]);
  const more = Array.from({ length: 50_000 }, (_, at) => ({
    name: `bulk-${at}`,
    host: `h${at % 500}.example`,
    prefix: `/bulk/${at}/some/longer/path/to/make/it/weigh/`,
    service: first.service,
    class: first.class,
    timeoutMs: 4000,
    cache: { lifetimeMs: 60_000, vary: ['accept-language'], query: true },
  }));
  const file = writeConfiguration(plan, folder, 'huge.json', { routes: [...routes, ...more] });
  const size = statSync(file).size;
  const since = performance.now();
  const done = await runOperatorCommand(fleet.registries, [
    'apply',
    file,
    '--timeout',
    '20000',
    '--wait',
    '15000',
  ]);
  print(
    `${more.length} routes, ${(size / 1048576).toFixed(1)} MiB, ${Math.round(performance.now() - since)} ms in all: ${done.stdout.trim()}${done.stderr.trim()}`,
  );
};

export const purgeFlood = async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
  const prefix = plan.deployment.traffic[0]?.prefix ?? '/';
  const since = performance.now();
  let good = 0;
  await Promise.all(
    Array.from({ length: 20 }, async (_, lane) => {
      for (let at = 0; at < 100; at += 1) {
        const reply = await got.post(
          `http://${fleet.registries[lane % fleet.registries.length] ?? ''}/v1/purges`,
          {
            json: { aims: [{ by: 'object', path: `${prefix}${lane * 100 + at}` }] },
            retry: { limit: 0 },
            throwHttpErrors: false,
          },
        );
        if (reply.statusCode === 200) good += 1;
      }
    }),
  );
  print(`${good} of 2000 single purges accepted in ${Math.round(performance.now() - since)} ms`);
};

export const collidingCommands: FaultScenario = async (stage) => {
  const base = await generationInForce(stage.fleet);
  const [one, two] = [stage.fleet.registries.slice(0, 1), stage.fleet.registries.slice(1, 2)];
  const files = [
    writeChangedConfiguration(stage.plan, stage.folder, 'one.json', 341),
    writeChangedConfiguration(stage.plan, stage.folder, 'two.json', 342),
  ];
  const done = await Promise.all(
    [one, two].map((to, at) =>
      runOperatorCommand(to, [
        'apply',
        files[at] ?? '',
        '--base',
        String(base),
        '--timeout',
        '10000',
        '--wait',
        '0',
        '--json',
      ]),
    ),
  );
  const won = done.filter((row) => row.exitCode === 0);
  return [
    untimedResult(
      'two operators on one base',
      won.length === 1 && done.filter((row) => row.exitCode === 1).length === 1,
      `exit codes ${done.map((row) => row.exitCode).join(' ')}`,
    ),
  ];
};

export const invalidConfiguration: FaultScenario = async (stage) => {
  const before = await generationInForce(stage.fleet);
  const file = writeConfiguration(stage.plan, stage.folder, 'invalid.json', {
    classes: [{ name: 'x', share: 3 }],
  });
  const done = await runOperatorCommand(stage.fleet.registries, [
    'apply',
    file,
    '--timeout',
    '10000',
    '--wait',
    '0',
  ]);
  await delay(2000);
  const after = await generationInForce(stage.fleet);
  return [
    untimedResult(
      'an invalid description is refused whole',
      done.exitCode !== 0 && done.stderr.includes('classes') && after === before,
      `exit code ${done.exitCode}, generation ${before} before and ${after} after`,
    ),
  ];
};
