import got from 'got';
import * as v from 'valibot';
import { type OriginSpot, pause } from '../../fleet/fleet.js';
import { lookAt } from '../stage.js';
import { type Cause, type Stage, firstService, verdict } from './cause.js';

/** How many requests an origin says that it served. */
const servedBy = async (origin: OriginSpot): Promise<number> =>
  v.parse(
    v.looseObject({ served: v.number() }),
    JSON.parse((await got(`http://${origin.control}/`, { retry: { limit: 0 } })).body),
  ).served;

export const mood =
  (change: object, back: object) =>
  async ({ fleet, plan, say }: Stage): Promise<void> => {
    const origin = fleet.origins.find((one) => one.group.service === firstService(plan));
    if (origin === undefined) return;
    await got.post(`http://${origin.control}/mood`, { json: change, retry: { limit: 0 } });
    say(`${origin.name}: ${JSON.stringify(change)}`);
    await pause(5000);
    await got.post(`http://${origin.control}/mood`, { json: back, retry: { limit: 0 } });
  };

export const crashOrigin = async ({ fleet, plan, say }: Stage): Promise<void> => {
  const origin = fleet.origins.find((one) => one.group.service === firstService(plan));
  await origin?.child.end('SIGKILL');
  say(`killed ${origin?.name ?? 'nothing'}`);
  await pause(3000);
};

export const badRelease = async ({ fleet, plan, say }: Stage): Promise<void> => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return;
  const origin = await fleet.addOrigin(group, `${group.service}-bad`, 'r2');
  await got.post(`http://${origin.control}/mood`, { json: { badShare: 0.6 }, retry: { limit: 0 } });
  say(`a bad release of ${group.service} came up`);
  await pause(6000);
  const reply = await got(`http://${origin.control}/`, { retry: { limit: 0 } });
  say(`the bad release: ${reply.body}`);
};

export const rollingReplace = async ({ fleet, plan, say }: Stage): Promise<void> => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return;
  for (const old of fleet.origins.filter((one) => one.group === group)) {
    await fleet.addOrigin(group, `${old.name}-next`, group.release);
    await pause(500);
    await old.child.end('SIGTERM');
  }
  say(`the origins of ${group.service} were replaced one by one`);
};

export const reuseAddress: Cause = async ({ fleet, plan, say }) => {
  const [one, other] = [plan.deployment.origins[0], plan.deployment.origins[1]];
  const old = fleet.origins.find((row) => row.group === one);
  if (one === undefined || other === undefined || old === undefined) return [];
  await old.child.end('SIGKILL');
  const next = await fleet.addOrigin(other, `${other.service}-taker`, other.release, old.address);
  say(`${old.address} of ${one.service} is ${other.service} now`);
  await pause(5000);
  const served = await servedBy(next);
  return [
    verdict(
      'a reused address',
      served > 0,
      `${served} requests served by ${other.service} at the address that was of ${one.service}`,
    ),
  ];
};

export const goodRelease: Cause = async ({ fleet, plan, say }) => {
  const group = plan.deployment.origins[0];
  if (group === undefined) return [];
  const origin = await fleet.addOrigin(group, `${group.service}-good`, 'r3');
  say(`a good release of ${group.service} came up`);
  await pause(12_000);
  const served = await servedBy(origin);
  const state = (await lookAt(fleet))?.verdicts.find(
    (one) => one.service === group.service && one.release === 'r3',
  )?.state;
  return [
    verdict(
      'a good release earns its traffic',
      served > 60 && state === 'good',
      `${served} requests, judged ${state ?? 'not at all'}`,
    ),
  ];
};
