/** Digests of whole simulated fleets under random faults. */
import { errorKinds } from '@switchwheel/types';
import type { Asked, SimCallers } from '../cast/callers.js';
import type { SimOrigin } from '../cast/origin.js';
import type { CallerResult } from '../cast/proxy.js';
import { faults, numberedOrderFaults } from '../fault/faults.js';
import type { Ending, Operation } from '../history/history.js';
import { storm } from '../run/storm.js';
import type { World, Write } from '../world/world.js';
import { RunDigest } from './run-digest.js';
import { type DigestSuite, seedRange } from './suite.js';

const faultsInEachRun = 10;

const endings: readonly Ending[] = ['acknowledged', 'refused', 'unknown'];

/** What happened, as a number: the first value of each line that is added while a run goes on. */
const sentLine = 1;
const deliveredLine = 2;
const actedLine = 3;

/** Adds every message as it is sent and delivered, and every event that a process acted on. */
const observeRun = (world: World, digest: RunDigest): void => {
  world.net.observer = {
    sent: (from, to) => digest.add(sentLine, world.agenda.now, from, to),
    delivered: (from, to) => digest.add(deliveredLine, world.agenda.now, from, to),
  };
  const checkRules = world.after;
  world.after = (actor) => {
    digest.add(actedLine, world.agenda.now, actor.address);
    checkRules(actor);
  };
};

const addWrite = (digest: RunDigest, write: Write): void => {
  const { told } = write;
  digest.add(write.id, write.sentAt, write.mark, write.invalid);
  digest.add(told?.at, told?.status, told?.generation, told?.purge, told?.hash);
};

/** The numbers that an operation of an operator was sent with and ended with. */
const numbersOf = (operation: Operation): readonly (string | number | undefined)[] => {
  switch (operation.kind) {
    case 'write':
    case 'read':
      return [operation.version?.number, operation.version?.hash];
    case 'release':
      return [operation.key, operation.order];
    case 'purge':
      return [operation.number];
  }
};

const addOperation = (digest: RunDigest, operation: Operation): void => {
  const ending = endings.indexOf(operation.ending);
  digest.add(operation.startedAt, operation.endedAt, ending, ...numbersOf(operation));
};

const addOrigin = (digest: RunDigest, origin: SimOrigin): void => {
  digest.add(origin.address, origin.used, origin.overrun, origin.alive, origin.knownAt);
  for (const run of origin.runs) digest.add(run.request, run.at, run.unsafe);
  for (const request of origin.takes) digest.add(request.request, request.at);
  digest.add(...origin.arrivals);
  digest.add(...origin.sent);
  digest.add(...origin.badTimes);
};

/** The kind of a result as a number: an error by its place in the list of errors. */
const resultNumber = (kind: CallerResult['kind']): number => {
  if (kind === 'result') return -1;
  return kind === 'broken' ? -2 : errorKinds.indexOf(kind);
};

const addRequest = (digest: RunDigest, request: Asked): void => {
  const { result } = request;
  digest.add(request.id, request.path, request.edge.address, request.life, request.sentAt);
  digest.add(request.flood, request.outOfReach, request.owed, request.second, request.left);
  digest.add(request.doneAt);
  if (result === undefined) return;
  digest.add(resultNumber(result.kind), result.status, result.revision, result.object);
  digest.add(result.request, result.stamp, result.from, result.retryMs);
};

/** Adds what operators, origins and callers wrote down, and where the random numbers have got to. */
const addRecords = (digest: RunDigest, world: World, callers: SimCallers): void => {
  for (const write of world.writes) addWrite(digest, write);
  for (const operation of world.history.operations) addOperation(digest, operation);
  for (const origin of world.origins) addOrigin(digest, origin);
  for (const request of callers.asked) addRequest(digest, request);
  digest.add(world.agenda.now, world.net.sent, world.chance.next());
};

const digestStorm = (seed: number, only: readonly string[]): string => {
  const digest = new RunDigest();
  let finishRecords = (): void => undefined;
  const report = storm({
    seed,
    steps: faultsInEachRun,
    only,
    skip: new Set(),
    observe: (world, callers) => {
      observeRun(world, digest);
      finishRecords = () => addRecords(digest, world, callers);
    },
  });
  finishRecords();
  digest.add(report.broken.length, ...report.acted);
  return digest.finish();
};

/** Fleets under faults of all kinds. */
export const fleetSuite: DigestSuite = {
  name: 'fleet',
  seeds: seedRange(1001, 60),
  seedsInTests: 1,
  digest: (seed) => digestStorm(seed, []),
};

const everyFault = [...faults, ...numberedOrderFaults].map((fault) => fault.name);

/** The same, with operators that race, repeat their commands and read back what is in force. */
export const operatorSuite: DigestSuite = {
  name: 'operators',
  seeds: seedRange(2001, 20),
  seedsInTests: 1,
  digest: (seed) => digestStorm(seed, everyFault),
};
