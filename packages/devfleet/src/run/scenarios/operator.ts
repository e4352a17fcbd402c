/** Fault scenarios of operators: huge and invalid configurations, conflicting commands, many purges. */

import { statSync } from 'node:fs';
import { generationInForce } from '../fleet-view.js';
import got from 'got';
import * as v from 'valibot';
import { delay } from '../../fleet/wait.js';
import { runOperatorCommand } from '../operator-command.js';
import { writeChangedConfiguration, writeConfiguration } from '../configuration-file.js';
import { untimedResult } from '../../report/report.js';
import type { FaultScenario, ScenarioContext } from './scenario.js';

/** Applies a configuration with 50,000 more routes. */
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
  const bulkRoutes = Array.from({ length: 50_000 }, (_, index) => ({
    name: `bulk-${index}`,
    host: `h${index % 500}.example`,
    prefix: `/bulk/${index}/some/longer/path/to/make/it/weigh/`,
    service: first.service,
    class: first.class,
    timeoutMs: 4000,
    cache: { lifetimeMs: 60_000, vary: ['accept-language'], query: true },
  }));
  const file = writeConfiguration(plan, folder, 'huge.json', {
    routes: [...routes, ...bulkRoutes],
  });
  const fileBytes = statSync(file).size;
  const startedAt = performance.now();
  const reply = await runOperatorCommand(fleet.registries, [
    'apply',
    file,
    '--timeout',
    '20000',
    '--wait',
    '15000',
  ]);
  print(
    `${bulkRoutes.length} routes, ${(fileBytes / 1048576).toFixed(1)} MiB, applied in ${Math.round(performance.now() - startedAt)} ms: ${reply.stdout.trim()}${reply.stderr.trim()}`,
  );
};

/** Sends 2,000 purges of one object each, 20 at a time. */
export const purgeFlood = async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
  const prefix = plan.deployment.traffic[0]?.prefix ?? '/';
  const startedAt = performance.now();
  let acceptedCount = 0;
  await Promise.all(
    Array.from({ length: 20 }, async (_, workerIndex) => {
      for (let index = 0; index < 100; index += 1) {
        const reply = await got.post(
          `http://${fleet.registries[workerIndex % fleet.registries.length] ?? ''}/v1/purges`,
          {
            json: { aims: [{ by: 'object', path: `${prefix}${workerIndex * 100 + index}` }] },
            retry: { limit: 0 },
            throwHttpErrors: false,
          },
        );
        if (reply.statusCode === 200) acceptedCount += 1;
      }
    }),
  );
  print(
    `${acceptedCount} of 2000 purges accepted in ${Math.round(performance.now() - startedAt)} ms`,
  );
};

/** Two operators apply changes to the same base generation: exactly one must be accepted. */
export const collidingCommands: FaultScenario = async (context) => {
  const base = await generationInForce(context.fleet);
  const { registries } = context.fleet;
  const targets = [registries.slice(0, 1), registries.slice(1, 2)];
  const files = [
    writeChangedConfiguration(context.plan, context.folder, 'conflicting-1.json', 341),
    writeChangedConfiguration(context.plan, context.folder, 'conflicting-2.json', 342),
  ];
  const replies = await Promise.all(
    targets.map((target, index) =>
      runOperatorCommand(target, [
        'apply',
        files[index] ?? '',
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
  const accepted = replies.filter((reply) => reply.exitCode === 0);
  return [
    untimedResult(
      'exactly one of two changes to the same base is accepted',
      accepted.length === 1 && replies.filter((reply) => reply.exitCode === 1).length === 1,
      `exit codes ${replies.map((reply) => reply.exitCode).join(' ')}`,
    ),
  ];
};

/** Applies an invalid configuration: it must be rejected, and the one in force must stay. */
export const invalidConfiguration: FaultScenario = async (context) => {
  const before = await generationInForce(context.fleet);
  const file = writeConfiguration(context.plan, context.folder, 'invalid.json', {
    classes: [{ name: 'x', share: 3 }],
  });
  const reply = await runOperatorCommand(context.fleet.registries, [
    'apply',
    file,
    '--timeout',
    '10000',
    '--wait',
    '0',
  ]);
  await delay(2000);
  const after = await generationInForce(context.fleet);
  return [
    untimedResult(
      'an invalid configuration is rejected',
      reply.exitCode !== 0 && reply.stderr.includes('classes') && after === before,
      `exit code ${reply.exitCode}, generation ${before} before and ${after} after`,
    ),
  ];
};
