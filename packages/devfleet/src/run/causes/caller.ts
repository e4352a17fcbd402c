import { type Cause, verdict } from './cause.js';
import { mood } from './origin.js';

export const impatient: Cause = async ({ callers, fleet, plan, say }) => {
  callers.impatience = 4;
  say('callers ask again at once, up to four times');
  await mood({ slowMs: 1500 }, { slowMs: 0 })({ callers, fleet, plan, say, folder: '' });
  callers.impatience = 0;
  return [];
};

export const flood: Cause = async ({ callers, plan, say }) => {
  const name = plan.deployment.traffic.at(-1)?.name ?? '';
  say(`three times the whole rate in ${name} alone for 5 s`);
  await callers.flood(name, plan.deployment.perSecond * 3, 5000);
  const other = callers.seen.filter(
    (one) => one.traffic.name !== name && one.at > performance.now() - 5000,
  );
  const lost = other.filter((one) => one.kind !== 'result');
  return [
    verdict(
      'a flooding class takes nothing of the others',
      lost.length <= other.length / 100,
      `${lost.length} of ${other.length} requests of other classes got no result`,
    ),
  ];
};
