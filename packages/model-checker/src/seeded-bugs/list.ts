/** Seeded bugs: guards of the control side whose removal the model checker must find. */

import type { Guard } from '@switchwheel/simulator/guard';

const candidate = 'election/dist/candidate/vote-count.js';
const voter = 'election/dist/voter/voter.js';
const voterRecovery = 'election/dist/voter/recovery.js';
const write = 'replicated-store/dist/log-write/primary-write.js';
const candidacy = 'replicated-store/dist/leadership/candidacy.js';
const backupWrite = 'replicated-store/dist/log-write/backup-write.js';
const apply = 'replicated-store/dist/commands/apply-configuration.js';

/** Guards of the control side whose absence the model checker is to find. */
export const seededBugs: readonly Guard[] = [
  {
    name: 'a voter that restarted abstains',
    rule: 'one valid lease',
    file: voter,
    from: 'if (now < abstentionEnd(state))',
    to: 'if (false)',
  },
  {
    name: 'a young voter renews no lease',
    rule: 'one valid lease',
    file: voter,
    from: 'if (now < abstentionEnd(state))',
    to: 'if (!request.renew && now < abstentionEnd(state))',
  },
  {
    name: 'a recovering voter believes only an echo of its own life',
    rule: 'a primary has every confirmed write',
    file: voter,
    from: 'request.voterLife === state.incarnation &&',
    to: '',
  },
  {
    name: 'a peer remembers for a recovering voter only what it said after the abstention',
    rule: 'a primary has every confirmed write',
    file: voterRecovery,
    from: 'peerGrants.lastGossipHeard?.incarnation === state.incarnation && peerGrants.lastGossipHeard.at >= abstentionEnd(state)',
    to: 'true',
  },
  {
    name: 'the margin of a lease',
    rule: 'one valid lease',
    file: candidate,
    from: 'decisive + leaseMs - leaseSafetyMarginMs',
    to: 'decisive + leaseMs + 100',
  },
  {
    name: 'a lease is counted from before it was asked for',
    rule: 'one valid lease',
    file: candidate,
    from: 'requestedAt: vote.at, wasRecovering: vote.recovering,',
    to: 'requestedAt: now, wasRecovering: vote.recovering,',
  },
  {
    name: 'a lease that ran out stays over',
    rule: 'one valid lease',
    file: candidate,
    from: "if (phase.phase === 'holdingLease' && now >= phase.leaseEndsAt)",
    to: 'if (false)',
  },
  {
    name: 'a lease that stands is respected',
    rule: 'one valid lease',
    file: voter,
    from: 'if (grant.leaseHolder !== request.node && now < grant.leaseEndsAt)',
    to: 'if (false)',
  },
  {
    name: 'a vote is only for a higher epoch',
    rule: 'one primary per epoch',
    file: voter,
    from: 'if (request.epoch <= grant.epoch)',
    to: 'if (false)',
  },
  {
    name: 'a lease needs a majority',
    rule: 'one valid lease',
    file: voter,
    from: 'export const quorumSize = (size) => Math.floor(size / 2) + 1;',
    to: 'export const quorumSize = (size) => Math.floor(size / 2);',
  },
  {
    name: 'recovering votes do not count',
    rule: 'a primary has every confirmed write',
    file: candidate,
    from: 'vote !== undefined && (context.countsRecoveringVoters || !vote.wasRecovering)',
    to: 'vote !== undefined',
  },
  {
    name: 'only stores in sync are elected',
    rule: 'a primary has every confirmed write',
    file: voter,
    from: 'if (request.duty === primaryLease && !grant.inSyncSet.includes(request.node))',
    to: 'if (false)',
  },
  {
    name: 'only stores in sync stand',
    rule: 'a primary has every confirmed write',
    file: candidacy,
    from: 'state.metadata.inSyncSet.includes(ownId(state)) && state.excludedAtEpoch <= state.metadata.epoch;',
    to: 'true;',
  },
  {
    name: 'the backup has it before the answer',
    rule: 'in-sync members hold a confirmed write',
    file: write,
    from: 'const isComplete = unacknowledgedBackups(state, next).length === 0; if (isComplete) return prependEffects(',
    to: 'if (true) return prependEffects(',
  },
  {
    name: 'every backup in sync has it before the answer',
    rule: 'in-sync members hold a confirmed write',
    file: write,
    from: 'const isComplete = isRequired && unacknowledgedBackups(state, next).length === 0; return isComplete ?',
    to: 'return true ?',
  },
  {
    name: 'the own disk has it before the answer',
    rule: 'in-sync members hold a confirmed write',
    file: write,
    from: 'return transition({ ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 }, ...effects, diskWrite(primaryWrite));',
    to: 'return prependEffects([...effects, diskWrite(primaryWrite)], commitWrite({ ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 }, primaryWrite, now));',
  },
  {
    name: 'a primary answers only while it holds the lease',
    rule: 'reads are never older than a write confirmed before',
    file: candidacy,
    from: 'state.isServing && holdsLease(state.candidate, now);',
    to: "state.isServing && state.candidate.phase.phase === 'holdingLease';",
  },
  {
    name: 'a backup takes no copy of an older epoch',
    rule: 'epochs on a disk only go up',
    file: backupWrite,
    from: 'if (write.metadata.epoch < metadata.epoch || write.metadata.epoch < heldEpoch(before.candidate))',
    to: 'if (false)',
  },
  {
    name: 'a backup takes no copy past a gap',
    rule: 'a primary has every confirmed write',
    file: backupWrite,
    from: 'const isNext = isSameLogPosition(state.logPosition, write.prior) || isSameLogPosition(state.logPosition, write.stamp);',
    to: 'const isNext = true;',
  },
  {
    name: 'a lower number does not replace a higher one',
    rule: 'a primary has every confirmed write',
    file: apply,
    from: 'if (requestedGeneration <= current)',
    to: 'if (false)',
  },
  {
    name: 'a number that is taken keeps its content',
    rule: 'one content by number',
    file: apply,
    from: 'if (boundHash !== undefined && boundHash !== command.hash)',
    to: 'if (false)',
  },
];
