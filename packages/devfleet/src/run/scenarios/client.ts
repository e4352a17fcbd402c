import { type FaultScenario, untimedResult } from './scenario.js';
import { originFault } from './origin.js';

export const impatientClients: FaultScenario = async ({ load, fleet, plan, print }) => {
  load.maxImmediateRetries = 4;
  print('callers ask again at once, up to four times');
  await originFault({ slowMs: 1500 }, { slowMs: 0 })({ load, fleet, plan, print, folder: '' });
  load.maxImmediateRetries = 0;
  return [];
};

export const floodingClass: FaultScenario = async ({ load, plan, print }) => {
  const name = plan.deployment.traffic.at(-1)?.name ?? '';
  print(`three times the whole rate in ${name} alone for 5 s`);
  await load.flood(name, plan.deployment.perSecond * 3, 5000);
  const other = load.records.filter(
    (one) => one.traffic.name !== name && one.sentAt > performance.now() - 5000,
  );
  const lost = other.filter((one) => one.outcome !== 'result');
  return [
    untimedResult(
      'a flooding class takes nothing of the others',
      lost.length <= other.length / 100,
      `${lost.length} of ${other.length} requests of other classes got no result`,
    ),
  ];
};
