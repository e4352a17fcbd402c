/** Digests of runs of a direct edge. */

import { type CallerRecord, bodyOf, statusOf } from '../direct/request-rules.js';
import { runDirectEdge } from '../direct/run.js';
import { RunDigest } from './run-digest.js';
import { type DigestSuite, seedRange } from './suite.js';

const addCaller = (digest: RunDigest, caller: CallerRecord): void => {
  digest.add(caller.id, caller.target, caller.sentAt, caller.minRevision, caller.hasDisconnected);
  for (const { at, reply } of caller.replies)
    digest.add(at, statusOf(reply), Buffer.byteLength(bodyOf(reply)));
};

const digestDirect = (seed: number): string => {
  const digest = new RunDigest();
  const run = runDirectEdge(seed);
  for (const attempt of run.sentAttempts) digest.add(attempt.at, attempt.id, attempt.address);
  for (const record of run.executionRecords) digest.add(record.id, record.instance, record.target);
  for (const caller of run.callerRecords) addCaller(digest, caller);
  digest.add(...[...run.counts.values()].sort((left, right) => left - right));
  digest.add(run.violations.length);
  return digest.finish();
};

/** Runs of a direct edge under random faults. */
export const directEdgeSuite: DigestSuite = {
  name: 'direct edge',
  seeds: seedRange(3001, 60),
  seedsInTests: 4,
  digest: digestDirect,
};
