/** Digests of an edge that sends straight to origins. */
import { type CallerRecord, bodyOf, statusOf } from '../direct/rules.js';
import { playDirect } from '../direct/run.js';
import { RunDigest } from './run-digest.js';
import { type DigestSuite, seedRange } from './suite.js';

const addCaller = (digest: RunDigest, caller: CallerRecord): void => {
  digest.add(caller.id, caller.target, caller.sentAt, caller.leastRevision, caller.left);
  for (const { at, word } of caller.told)
    digest.add(at, statusOf(word), Buffer.byteLength(bodyOf(word)));
};

const digestDirect = (seed: number): string => {
  const digest = new RunDigest();
  const run = playDirect(seed);
  for (const attempt of run.sentAttempts) digest.add(attempt.at, attempt.id, attempt.address);
  for (const record of run.runRecords) digest.add(record.id, record.instance, record.target);
  for (const caller of run.callerRecords) addCaller(digest, caller);
  digest.add(...[...run.counts.values()].sort((left, right) => left - right));
  digest.add(run.violations.length);
  return digest.finish();
};

export const directEdgeSuite: DigestSuite = {
  name: 'direct edge',
  seeds: seedRange(3001, 60),
  seedsInTests: 4,
  digest: digestDirect,
};
