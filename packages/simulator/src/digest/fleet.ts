/** Digests of whole simulated fleets under random faults. */

import { errorKinds } from '@switchwheel/types';
import type { CallerRequest, SimulatedCallers } from '../processes/callers.js';
import type { SimulatedOrigin } from '../processes/origin.js';
import type { CallerResult } from '../processes/caller-result.js';
import { allFaults } from '../fault/all-faults.js';
import { numberedCommandFaults } from '../fault/operator-commands.js';
import type { Outcome, Operation } from '../history/history.js';
import { runRandomFaults } from '../run/random-faults.js';
import type { World, OperatorWrite } from '../world/world.js';
import { RunDigest } from './run-digest.js';
import { type DigestSuite, seedRange } from './suite.js';

const faultsPerRun = 10;

const outcomes: readonly Outcome[] = ['acknowledged', 'rejected', 'unknown'];

/** Kind of an observed event: the first value of its line in the digest. */
const sentEvent = 1;
const deliveredEvent = 2;
const processedEvent = 3;

/** Adds each message sent or delivered and each event processed, with its virtual time. */
const observeRun = (world: World, digest: RunDigest): void => {
  world.network.observer = {
    sent: (from, to) => digest.add(sentEvent, world.eventQueue.now, from, to),
    delivered: (from, to) => digest.add(deliveredEvent, world.eventQueue.now, from, to),
  };
  const checkRules = world.afterEvent;
  world.afterEvent = (process) => {
    digest.add(processedEvent, world.eventQueue.now, process.address);
    checkRules(process);
  };
};

const addWrite = (digest: RunDigest, write: OperatorWrite): void => {
  const { reply } = write;
  digest.add(write.id, write.sentAt, write.marker, write.isInvalid);
  digest.add(reply?.at, reply?.status, reply?.generation, reply?.purge, reply?.hash);
};

/** Values that identify the version, rollout or purge of an operation. */
const identifyingValues = (operation: Operation): readonly (string | number | undefined)[] => {
  switch (operation.kind) {
    case 'write':
    case 'read':
      return [operation.version?.number, operation.version?.hash];
    case 'rollout':
      return [operation.key, operation.rolloutNumber];
    case 'purge':
      return [operation.number];
  }
};

const addOperation = (digest: RunDigest, operation: Operation): void => {
  const outcomeIndex = outcomes.indexOf(operation.outcome);
  digest.add(operation.startedAt, operation.endedAt, outcomeIndex, ...identifyingValues(operation));
};

const addOrigin = (digest: RunDigest, origin: SimulatedOrigin): void => {
  digest.add(
    origin.address,
    origin.usedSlots,
    origin.overloadCount,
    origin.isAlive,
    origin.departureKnownAt,
  );
  for (const execution of origin.executions)
    digest.add(execution.requestId, execution.at, execution.isUnsafe);
  for (const attempt of origin.attempts) digest.add(attempt.request, attempt.at);
  digest.add(...origin.arrivalTimes);
  digest.add(...origin.receiveTimes);
  digest.add(...origin.failureTimes);
};

/** Kind of a result as a number: an error by its index in the list of error kinds. */
const resultNumber = (kind: CallerResult['kind']): number => {
  if (kind === 'result') return -1;
  return kind === 'broken' ? -2 : errorKinds.indexOf(kind);
};

const addRequest = (digest: RunDigest, request: CallerRequest): void => {
  const { result } = request;
  digest.add(
    request.id,
    request.path,
    request.edge.address,
    request.edgeIncarnation,
    request.sentAt,
  );
  digest.add(
    request.isFlood,
    request.wasEdgeUnreachable,
    request.serviceAvailableForMs,
    request.hasSecondReply,
    request.hasDisconnected,
  );
  digest.add(request.repliedAt);
  if (result === undefined) return;
  digest.add(resultNumber(result.kind), result.status, result.revision, result.object);
  digest.add(result.request, result.createdAt, result.source, result.retryAfterMs);
};

/** Adds the records of operators, origins and callers, and the state of the random source. */
const addRecords = (digest: RunDigest, world: World, callers: SimulatedCallers): void => {
  for (const write of world.writes) addWrite(digest, write);
  for (const operation of world.history.operations) addOperation(digest, operation);
  for (const origin of world.origins) addOrigin(digest, origin);
  for (const request of callers.requests) addRequest(digest, request);
  digest.add(world.eventQueue.now, world.network.sentCount, world.random.next());
};

const digestRandomFaults = (seed: number, namePrefixes: readonly string[]): string => {
  const digest = new RunDigest();
  let finishRecords = (): void => undefined;
  const report = runRandomFaults({
    seed,
    faultCount: faultsPerRun,
    namePrefixes,
    skippedFaults: new Set(),
    observe: (world, callers) => {
      observeRun(world, digest);
      finishRecords = () => addRecords(digest, world, callers);
    },
  });
  finishRecords();
  digest.add(report.violations.length, ...report.injectedFaultNumbers);
  return digest.finish();
};

/** Fleets under all default faults. */
export const fleetSuite: DigestSuite = {
  name: 'fleet',
  seeds: seedRange(1001, 60),
  seedsInTests: 1,
  digest: (seed) => digestRandomFaults(seed, []),
};

const everyFault = [...allFaults, ...numberedCommandFaults].map((fault) => fault.name);

/** Fleets under all faults, with operators that send concurrent and repeated commands. */
export const operatorSuite: DigestSuite = {
  name: 'operators',
  seeds: seedRange(2001, 20),
  seedsInTests: 1,
  digest: (seed) => digestRandomFaults(seed, everyFault),
};
