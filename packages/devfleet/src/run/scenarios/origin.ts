import got from 'got';
import * as v from 'valibot';
import { type StubOrigin, delay } from '../../fleet/fleet.js';
import { readFleetView } from '../fleet-setup.js';
import {
  type FaultScenario,
  type ScenarioContext,
  firstService,
  untimedResult,
} from './scenario.js';

/** How many requests an origin says that it served. */
const servedCount = async (origin: StubOrigin): Promise<number> =>
  v.parse(
    v.looseObject({ served: v.number() }),
    JSON.parse((await got(`http://${origin.controlAddress}/`, { retry: { limit: 0 } })).body),
  ).served;

export const originFault =
  (faulty: object, repaired: object) =>
  async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
    const origin = fleet.origins.find((one) => one.group.service === firstService(plan));
    if (origin === undefined) return;
    await got.post(`http://${origin.controlAddress}/mood`, { json: faulty, retry: { limit: 0 } });
    print(`${origin.name}: ${JSON.stringify(faulty)}`);
    await delay(5000);
    await got.post(`http://${origin.controlAddress}/mood`, { json: repaired, retry: { limit: 0 } });
  };

export const crashOrigin = async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
  const origin = fleet.origins.find((one) => one.group.service === firstService(plan));
  await origin?.process.stop('SIGKILL');
  print(`killed ${origin?.name ?? 'nothing'}`);
  await delay(3000);
};

export const badRelease = async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return;
  const origin = await fleet.addOrigin(group, `${group.service}-bad`, 'r2');
  await got.post(`http://${origin.controlAddress}/mood`, {
    json: { badShare: 0.6 },
    retry: { limit: 0 },
  });
  print(`a bad release of ${group.service} came up`);
  await delay(6000);
  const reply = await got(`http://${origin.controlAddress}/`, { retry: { limit: 0 } });
  print(`the bad release: ${reply.body}`);
};

export const replaceOrigins = async ({ fleet, plan, print }: ScenarioContext): Promise<void> => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return;
  for (const old of fleet.origins.filter((one) => one.group === group)) {
    await fleet.addOrigin(group, `${old.name}-next`, group.release);
    await delay(500);
    await old.process.stop('SIGTERM');
  }
  print(`the origins of ${group.service} were replaced one by one`);
};

export const reuseAddress: FaultScenario = async ({ fleet, plan, print }) => {
  const [one, other] = [plan.deployment.origins[0], plan.deployment.origins[1]];
  const old = fleet.origins.find((row) => row.group === one);
  if (one === undefined || other === undefined || old === undefined) return [];
  await old.process.stop('SIGKILL');
  const next = await fleet.addOrigin(other, `${other.service}-taker`, other.release, old.address);
  print(`${old.address} of ${one.service} is ${other.service} now`);
  await delay(5000);
  const served = await servedCount(next);
  return [
    untimedResult(
      'a reused address',
      served > 0,
      `${served} requests served by ${other.service} at the address that was of ${one.service}`,
    ),
  ];
};

export const goodRelease: FaultScenario = async ({ fleet, plan, print }) => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return [];
  const origin = await fleet.addOrigin(group, `${group.service}-good`, 'r3');
  print(`a good release of ${group.service} came up`);
  await delay(12_000);
  const served = await servedCount(origin);
  const state = (await readFleetView(fleet))?.verdicts.find(
    (one) => one.service === group.service && one.release === 'r3',
  )?.state;
  return [
    untimedResult(
      'a good release earns its traffic',
      served > 60 && state === 'good',
      `${served} requests, judged ${state ?? 'not at all'}`,
    ),
  ];
};
