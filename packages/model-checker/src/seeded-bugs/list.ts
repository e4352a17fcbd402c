/** Seeded bugs: guards of the control plane whose removal the model checker must find. */

import type { Guard } from '@switchwheel/simulator/guard';

const candidate = 'election/dist/candidate/vote-count.js';
const voter = 'election/dist/voter/voter.js';
const voterRecovery = 'election/dist/voter/recovery.js';
const write = 'replicated-store/dist/log-write/primary-write.js';
const candidacy = 'replicated-store/dist/leadership/candidacy.js';
const backupWrite = 'replicated-store/dist/log-write/backup-write.js';
const apply = 'replicated-store/dist/commands/apply-configuration.js';

/** Guards with the built code that is replaced and the invariant whose violation is expected. */
export const seededBugs: readonly Guard[] = [
  {
    name: 'a restarted voter abstains',
    rule: 'one valid lease',
    file: voter,
    from: 'if (now < abstentionEnd(state))',
    to: 'if (false)',
  },
  {
    name: 'an abstaining voter renews no lease',
    rule: 'one valid lease',
    file: voter,
    from: 'if (now < abstentionEnd(state))',
    to: 'if (!request.renew && now < abstentionEnd(state))',
  },
  {
    name: 'a renewal proves a won election only to the voter incarnation that it names',
    rule: 'a primary has every confirmed write',
    file: voter,
    from: 'request.voterLife === state.incarnation &&',
    to: '',
  },
  {
    name: 'a recovering voter uses only grant records that peers made after its abstention',
    rule: 'a primary has every confirmed write',
    file: voterRecovery,
    from: 'peerGrants.lastGossipHeard?.incarnation === state.incarnation && peerGrants.lastGossipHeard.at >= abstentionEnd(state)',
    to: 'true',
  },
  {
    name: 'a lease ends earlier for its holder by a safety margin',
    rule: 'one valid lease',
    file: candidate,
    from: 'decisive + leaseMs - leaseSafetyMarginMs',
    to: 'decisive + leaseMs + 100',
  },
  {
    name: 'a lease is counted from the time of its request',
    rule: 'one valid lease',
    file: candidate,
    from: 'requestedAt: vote.at, wasRecovering: vote.recovering,',
    to: 'requestedAt: now, wasRecovering: vote.recovering,',
  },
  {
    name: 'a candidate gives up an expired lease',
    rule: 'one valid lease',
    file: candidate,
    from: "if (phase.phase === 'holdingLease' && now >= phase.leaseEndsAt)",
    to: 'if (false)',
  },
  {
    name: 'a voter refuses others while a granted lease is valid',
    rule: 'one valid lease',
    file: voter,
    from: 'if (grant.leaseHolder !== request.node && now < grant.leaseEndsAt)',
    to: 'if (false)',
  },
  {
    name: 'a voter grants only higher epochs',
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
    name: 'votes of recovering voters do not count',
    rule: 'a primary has every confirmed write',
    file: candidate,
    from: 'vote !== undefined && (context.countsRecoveringVoters || !vote.wasRecovering)',
    to: 'vote !== undefined',
  },
  {
    name: 'voters elect only stores of the in-sync set',
    rule: 'a primary has every confirmed write',
    file: voter,
    from: 'if (request.duty === primaryLease && !grant.inSyncSet.includes(request.node))',
    to: 'if (false)',
  },
  {
    name: 'only stores of the in-sync set are candidates',
    rule: 'a primary has every confirmed write',
    file: candidacy,
    from: 'state.metadata.inSyncSet.includes(ownId(state)) && state.excludedAtEpoch <= state.metadata.epoch;',
    to: 'true;',
  },
  {
    name: 'a write synced by the primary waits for the acknowledgements of backups',
    rule: 'every in-sync replica holds a confirmed write',
    file: write,
    from: 'const isComplete = unacknowledgedBackups(state, next).length === 0; if (isComplete) return prependEffects(',
    to: 'if (true) return prependEffects(',
  },
  {
    name: 'a write is confirmed only after every in-sync backup acknowledged it',
    rule: 'every in-sync replica holds a confirmed write',
    file: write,
    from: 'const isComplete = isRequired && unacknowledgedBackups(state, next).length === 0; return isComplete ?',
    to: 'return true ?',
  },
  {
    name: 'a write is confirmed only after the primary synced it to disk',
    rule: 'every in-sync replica holds a confirmed write',
    file: write,
    from: 'return transition({ ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 }, ...effects, diskWrite(primaryWrite));',
    to: 'return prependEffects([...effects, diskWrite(primaryWrite)], commitWrite({ ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 }, primaryWrite, now));',
  },
  {
    name: 'a primary serves only while it holds the lease',
    rule: 'reads are never older than a previously confirmed write',
    file: candidacy,
    from: 'state.isServing && holdsLease(state.candidate, now);',
    to: "state.isServing && state.candidate.phase.phase === 'holdingLease';",
  },
  {
    name: 'a backup refuses writes of an older epoch',
    rule: 'epochs on a disk never decrease',
    file: backupWrite,
    from: 'if (write.metadata.epoch < metadata.epoch || write.metadata.epoch < heldEpoch(before.candidate))',
    to: 'if (false)',
  },
  {
    name: 'a backup refuses writes after a gap in the log',
    rule: 'a primary has every confirmed write',
    file: backupWrite,
    from: 'const isNext = isSameLogPosition(state.logPosition, write.prior) || isSameLogPosition(state.logPosition, write.stamp);',
    to: 'const isNext = true;',
  },
  {
    name: 'a lower generation does not replace a higher one',
    rule: 'a primary has every confirmed write',
    file: apply,
    from: 'if (requestedGeneration <= current)',
    to: 'if (false)',
  },
  {
    name: 'a generation never changes its content',
    rule: 'one content per generation',
    file: apply,
    from: 'if (boundHash !== undefined && boundHash !== command.hash)',
    to: 'if (false)',
  },
];
