/** Tables of services: their leaders, classes, origins and canaries. */

import { newestOrigins, serviceLeaders } from './newest.js';
import { type Table, row, sum } from './table.js';

/** The table `services`. */
export const servicesTable: Table = {
  summary: 'services at their keepers',
  sources: ['keepers'],
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
    serviceLeaders(snapshot).map((one) =>
      row(
        ['service', one.service],
        ['keeper', one.node],
        ['epoch', one.epoch],
        ['origins', one.origins.filter((origin) => origin.up).length],
        ['slots', sum(one.origins.filter((origin) => origin.up).map((origin) => origin.slots))],
        ['used', sum(one.origins.map((origin) => origin.used))],
        ['waiting', sum(one.waitlist.map((list) => list.waiting))],
        ['typical', one.typicalMs],
        ['traffic10s', one.budget.traffic10s],
        ['extra10s', one.budget.extra10s],
        ['tokens', one.ceilingTokens],
        ['closing', one.closing],
      ),
    ),
};

/** The table `classes`. */
export const classesTable: Table = {
  summary: 'classes at each service: running, waiting, and what is on loan beyond their share',
  sources: ['keepers'],
  columns: ['service', 'class', 'running', 'waiting', 'share', 'loan'],
  rows: (snapshot) =>
    serviceLeaders(snapshot).flatMap((one) =>
      one.running.map((load) => {
        const slots = sum(one.origins.filter((origin) => origin.up).map((origin) => origin.slots));
        const part = one.shares?.find((each) => each.class === load.class)?.share;
        const share = part === undefined ? undefined : Math.floor(part * slots + 1e-9);
        return row(
          ['service', one.service],
          ['class', load.class],
          ['running', load.running],
          ['waiting', one.waitlist.find((list) => list.class === load.class)?.waiting ?? 0],
          ['share', share],
          ['loan', share === undefined ? undefined : Math.max(0, load.running - share)],
        );
      }),
    ),
};

/** The table `origins`. */
export const originsTable: Table = {
  summary: 'origins as announced, with what their keeper sees',
  sources: ['keepers'],
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
    newestOrigins(snapshot).map((one) => {
      const endpoint = serviceLeaders(snapshot)
        .flatMap((keeper) => keeper.origins)
        .find((each) => each.instance === one.instance);
      return row(
        ['instance', one.instance],
        ['service', one.service],
        ['release', one.release],
        ['state', one.state],
        ['age', one.ageMs],
        ['slots', one.slots],
        ['used', endpoint?.used],
        ['probe', endpoint?.probe],
        ['typical', endpoint?.typicalMs],
        ['passed', endpoint?.passedOverMs],
        ['address', one.address],
      );
    }),
};

/** The table `trials`. */
export const trialsTable: Table = {
  summary: 'releases on trial and what is judged of them',
  sources: ['keepers', 'verdicts'],
  columns: ['service', 'release', 'state', 'spent', 'bad', 'used', 'granted', 'good'],
  rows: (snapshot) => {
    const live = serviceLeaders(snapshot)
      .filter((one) => !one.closing)
      .flatMap((one) => one.trials.map((trial) => ({ ...trial, service: one.service })));
    const stored =
      snapshot.stored.verdicts?.verdicts ??
      live.map((one) => ({
        service: one.service,
        release: one.release,
        state: one.state,
        spent: one.granted,
        bad: one.bad,
      }));
    return stored.map((one) => {
      const trial = live.find(
        (each) => each.service === one.service && each.release === one.release,
      );
      return row(
        ['service', one.service],
        ['release', one.release],
        ['state', one.state],
        ['spent', one.spent],
        ['bad', Math.max(one.bad, trial?.bad ?? 0)],
        ['used', trial?.used],
        ['granted', trial?.granted],
        ['good', trial?.good],
      );
    });
  },
};
