/** Fault scenarios of origins and their releases. */

import got from 'got';
import * as v from 'valibot';
import { delay } from '../../fleet/wait.js';
import type { StubOrigin } from '../../fleet/machine.js';
import { readFleetView } from '../fleet-view.js';
import { untimedResult } from '../../report/report.js';
import { type FaultScenario, type ScenarioContext, firstService } from './scenario.js';

/** Reads the number of requests that an origin has served. */
const servedCount = async (origin: StubOrigin): Promise<number> =>
  v.parse(
    v.looseObject({ served: v.number() }),
    JSON.parse((await got(`http://${origin.controlAddress}/`, { retry: { limit: 0 } })).body),
  ).served;

/** Injects a fault into one origin of the first service for five seconds. */
export const originFault =
  (faulty: object, repaired: object) =>
  async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
    const origin = fleet.origins.find(
      (candidate) => candidate.group.service === firstService(plan),
    );
    if (origin === undefined) return;
    await got.post(`http://${origin.controlAddress}/mood`, { json: faulty, retry: { limit: 0 } });
    print(`${origin.name}: ${JSON.stringify(faulty)}`);
    await delay(5000);
    await got.post(`http://${origin.controlAddress}/mood`, { json: repaired, retry: { limit: 0 } });
  };

/** Kills one origin of the first service. */
export const crashOrigin = async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
  const origin = fleet.origins.find((candidate) => candidate.group.service === firstService(plan));
  await origin?.process.stop('SIGKILL');
  print(`killed ${origin?.name ?? 'no origin'}`);
  await delay(3000);
};

/** Starts an origin of a new release that answers most requests with errors. */
export const badRelease = async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return;
  const origin = await fleet.addOrigin(group, `${group.service}-bad`, 'r2');
  await got.post(`http://${origin.controlAddress}/mood`, {
    json: { badShare: 0.6 },
    retry: { limit: 0 },
  });
  print(`started an origin of a failing release of ${group.service}`);
  await delay(6000);
  const reply = await got(`http://${origin.controlAddress}/`, { retry: { limit: 0 } });
  print(`the origin of the failing release reports: ${reply.body}`);
};

/** Replaces the origins of the first service one at a time. */
export const replaceOrigins = async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return;
  for (const oldOrigin of fleet.origins.filter((candidate) => candidate.group === group)) {
    await fleet.addOrigin(group, `${oldOrigin.name}-next`, group.release);
    await delay(500);
    await oldOrigin.process.stop('SIGTERM');
  }
  print(`replaced the origins of ${group.service} one at a time`);
};

/** An origin of another service reuses the address of a crashed origin. */
export const reuseAddress: FaultScenario = async ({ fleet, plan, print }) => {
  const [group, otherGroup] = plan.deployment.origins;
  const oldOrigin = fleet.origins.find((origin) => origin.group === group);
  if (group === undefined || otherGroup === undefined || oldOrigin === undefined) return [];
  await oldOrigin.process.stop('SIGKILL');
  const newOrigin = await fleet.addOrigin(
    otherGroup,
    `${otherGroup.service}-taker`,
    otherGroup.release,
    oldOrigin.address,
  );
  print(
    `the address ${oldOrigin.address} of ${group.service} now belongs to ${otherGroup.service}`,
  );
  await delay(5000);
  const served = await servedCount(newOrigin);
  return [
    untimedResult(
      'an origin at a reused address gets requests',
      served > 0,
      `${served} requests served by ${otherGroup.service} at the former address of ${group.service}`,
    ),
  ];
};

/** Starts an origin of a healthy release: its canary must succeed, and it must get its share of requests. */
export const goodRelease: FaultScenario = async ({ fleet, plan, print }) => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return [];
  const origin = await fleet.addOrigin(group, `${group.service}-good`, 'r3');
  print(`started an origin of a healthy release of ${group.service}`);
  await delay(12_000);
  const served = await servedCount(origin);
  const state = (await readFleetView(fleet))?.verdicts.find(
    (canaryResult) => canaryResult.service === group.service && canaryResult.release === 'r3',
  )?.state;
  return [
    untimedResult(
      'a healthy release gets its share of requests',
      served > 60 && state === 'good',
      `${served} requests served, canary result ${state ?? 'missing'}`,
    ),
  ];
};
