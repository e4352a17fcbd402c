/** Fault scenarios of clients: immediate retries and a flood of one request class. */

import { untimedResult } from '../../report/report.js';
import type { FaultScenario } from './scenario.js';
import { originFault } from './origin.js';

/** Clients retry immediately while an origin is slow. */
export const impatientClients: FaultScenario = async ({ load, fleet, plan, print }) => {
  load.maxImmediateRetries = 4;
  print('clients retry immediately, up to 4 times');
  await originFault({ slowMs: 1500 }, { slowMs: 0 })({ load, fleet, plan, print, folder: '' });
  load.maxImmediateRetries = 0;
  return [];
};

/** One class gets three times the total load; at most 1% of the requests of other classes may fail. */
export const floodingClass: FaultScenario = async ({ load, plan, print }) => {
  const name = plan.deployment.traffic.at(-1)?.name ?? '';
  print(`flooding ${name} with three times the total request rate for 5 s`);
  await load.flood(name, plan.deployment.perSecond * 3, 5000);
  const otherRecords = load.records.filter(
    (record) => record.traffic.name !== name && record.sentAt > performance.now() - 5000,
  );
  const failed = otherRecords.filter((record) => record.outcome !== 'result');
  return [
    untimedResult(
      'a flooded class does not affect other classes',
      failed.length <= otherRecords.length / 100,
      `${failed.length} of ${otherRecords.length} requests of other classes got no result`,
    ),
  ];
};
