/** Tables of services: leaders, classes, origins and canaries. */

import { newestOrigins, serviceLeaders } from './newest.js';
import { type Table, row, sum } from './table.js';

/** Table `services`: one row per service leader. */
export const servicesTable: Table = {
  summary: 'services as their leaders report them',
  sources: ['serviceLeaders'],
  columns: [
    'service',
    'keeper',
    'epoch',
    'origins',
    'slots',
    'used',
    'waiting',
    'typical',
    'traffic10s',
    'extra10s',
    'tokens',
    'closing',
  ],
  rows: (snapshot) =>
    serviceLeaders(snapshot).map((leader) =>
      row(
        ['service', leader.service],
        ['keeper', leader.node],
        ['epoch', leader.epoch],
        ['origins', leader.origins.filter((origin) => origin.up).length],
        ['slots', sum(leader.origins.filter((origin) => origin.up).map((origin) => origin.slots))],
        ['used', sum(leader.origins.map((origin) => origin.used))],
        ['waiting', sum(leader.waitlist.map((list) => list.waiting))],
        ['typical', leader.typicalMs],
        ['traffic10s', leader.budget.traffic10s],
        ['extra10s', leader.budget.extra10s],
        ['tokens', leader.ceilingTokens],
        ['closing', leader.closing],
      ),
    ),
};

/** Table `classes`: one row per service and traffic class. */
export const classesTable: Table = {
  summary: 'classes of each service: running, waiting, and slots in use beyond the share',
  sources: ['serviceLeaders'],
  columns: ['service', 'class', 'running', 'waiting', 'share', 'loan'],
  rows: (snapshot) =>
    serviceLeaders(snapshot).flatMap((leader) =>
      leader.running.map((load) => {
        const slots = sum(
          leader.origins.filter((origin) => origin.up).map((origin) => origin.slots),
        );
        const shareFraction = leader.shares?.find((entry) => entry.class === load.class)?.share;
        const shareSlots =
          shareFraction === undefined ? undefined : Math.floor(shareFraction * slots + 1e-9);
        return row(
          ['service', leader.service],
          ['class', load.class],
          ['running', load.running],
          ['waiting', leader.waitlist.find((list) => list.class === load.class)?.waiting ?? 0],
          ['share', shareSlots],
          ['loan', shareSlots === undefined ? undefined : Math.max(0, load.running - shareSlots)],
        );
      }),
    ),
};

/** Table `origins`: one row per origin instance. */
export const originsTable: Table = {
  summary: 'announced origins, with the state that their service leader reports',
  sources: ['serviceLeaders'],
  columns: [
    'instance',
    'service',
    'release',
    'state',
    'age',
    'slots',
    'used',
    'probe',
    'typical',
    'passed',
    'address',
  ],
  rows: (snapshot) =>
    newestOrigins(snapshot).map((origin) => {
      const endpoint = serviceLeaders(snapshot)
        .flatMap((leader) => leader.origins)
        .find((candidate) => candidate.instance === origin.instance);
      return row(
        ['instance', origin.instance],
        ['service', origin.service],
        ['release', origin.release],
        ['state', origin.state],
        ['age', origin.ageMs],
        ['slots', origin.slots],
        ['used', endpoint?.used],
        ['probe', endpoint?.probe],
        ['typical', endpoint?.typicalMs],
        ['passed', endpoint?.passedOverMs],
        ['address', origin.address],
      );
    }),
};

/** Table `trials`: one row per release with a canary result. */
export const trialsTable: Table = {
  summary: 'canary releases with their results',
  sources: ['serviceLeaders', 'verdicts'],
  columns: ['service', 'release', 'state', 'spent', 'bad', 'used', 'granted', 'good'],
  rows: (snapshot) => {
    const liveCanaries = serviceLeaders(snapshot)
      .filter((leader) => !leader.closing)
      .flatMap((leader) => leader.trials.map((canary) => ({ ...canary, service: leader.service })));
    const canaryResults =
      snapshot.stored.verdicts?.verdicts ??
      liveCanaries.map((canary) => ({
        service: canary.service,
        release: canary.release,
        state: canary.state,
        spent: canary.granted,
        bad: canary.bad,
      }));
    return canaryResults.map((result) => {
      const liveCanary = liveCanaries.find(
        (canary) => canary.service === result.service && canary.release === result.release,
      );
      return row(
        ['service', result.service],
        ['release', result.release],
        ['state', result.state],
        ['spent', result.spent],
        ['bad', Math.max(result.bad, liveCanary?.bad ?? 0)],
        ['used', liveCanary?.used],
        ['granted', liveCanary?.granted],
        ['good', liveCanary?.good],
      );
    });
  },
};
