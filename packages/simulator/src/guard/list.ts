/** The guards whose absence some test must notice (mutation testing by hand-picked mutations). */

/**
 * One thing that keeps a rule, and how to take it out of built code: the text that stands once in
 * the file (white space doesn't count), and what stands there without it.
 */
export interface Guard {
  readonly name: string;
  readonly rule: string;
  /** A built file, below packages/. */
  readonly file: string;
  readonly from: string;
  readonly to: string;
}

const canary = 'proxy-core/dist/service-leader/canary.js';
const forwarding = 'proxy-core/dist/forwarding/forwarding.js';
const responseVerifier = 'proxy-core/dist/request-handler/response-verifier.js';
const requestState = 'proxy-core/dist/request-handler/request-state.js';
const edgeRequestHandler = 'proxy-core/dist/request-handler/edge-request-handler.js';
const inboundRequests = 'proxy-core/dist/request-handler/inbound-requests.js';
const cacheLookup = 'proxy-core/dist/cache/cache-lookup.js';
const cache = 'proxy-core/dist/cache/cache.js';
const proxy = 'proxy-core/dist/proxy/proxy.js';
const voteCount = 'election/dist/candidate/vote-count.js';
const voter = 'election/dist/voter/voter.js';
const primaryWrite = 'replicated-store/dist/log-write/primary-write.js';
const decideCanary = 'replicated-store/dist/commands/decide-canary.js';
const applyConfiguration = 'replicated-store/dist/commands/apply-configuration.js';
const decision = 'replicated-store/dist/commands/decision.js';
const releaseRollout = 'configuration/dist/release/release-rollout.js';
const candidacy = 'replicated-store/dist/leadership/candidacy.js';
const origins = 'membership/dist/origins/origins.js';
const departures = 'membership/dist/registry/departures.js';

/** All guards that `npm run guards` takes out. */
export const guards: readonly Guard[] = [
  {
    name: 'one leg for unsafe',
    rule: 'R1',
    file: 'proxy-core/dist/service-leader/attempt-result.js',
    from: "outcome.kind === 'notRun' || outcome.kind === 'notSent' || request.isIdempotent;",
    to: 'true;',
  },
  {
    name: 'no hedge for unsafe',
    rule: 'R1',
    file: 'proxy-core/dist/service-leader/hedging.js',
    from: 'request === undefined || !request.isIdempotent || request.attemptCount >= 2',
    to: 'request === undefined || request.attemptCount >= 2',
  },
  {
    name: 'edges never re-ask an unsafe request',
    rule: 'R1',
    file: 'proxy-core/dist/forwarding/leader-events.js',
    from: 'const isSafeToRetry = isUnsent || request.isIdempotent;',
    to: 'const isSafeToRetry = true;',
  },
  {
    name: 'unsafe requests stay with a keeper that may be frozen',
    rule: 'R1',
    file: 'proxy-core/dist/forwarding/leader-events.js',
    from: 'if (!request.isIdempotent || phase.epoch >= leader.epoch)',
    to: 'if (phase.epoch >= leader.epoch)',
  },
  {
    name: 'the fence of a keeper past its lease',
    rule: 'R1',
    file: proxy,
    from: 'andThen(closeExpiredLeaders(recordEventTime(state, event.now), event.now), (current) => handleEvent(current, event))',
    to: 'handleEvent(recordEventTime(state, event.now), event)',
  },
  {
    name: 'the margin of a lease',
    rule: 'one holder',
    file: voteCount,
    from: 'decisive + leaseMs - leaseSafetyMarginMs',
    to: 'decisive + leaseMs + 50',
  },
  {
    name: 'a lease that ran out stays over',
    rule: 'one holder',
    file: voteCount,
    from: "if (phase.phase === 'holdingLease' && now >= phase.leaseEndsAt)",
    to: 'if (false)',
  },
  {
    name: 'a voter that restarted abstains',
    rule: 'one holder',
    file: voter,
    from: 'if (now < abstentionEnd(state))',
    to: 'if (false)',
  },
  {
    name: 'a lease that stands is respected',
    rule: 'one holder',
    file: voter,
    from: 'if (grant.leaseHolder !== request.node && now < grant.leaseEndsAt)',
    to: 'if (false)',
  },
  {
    name: 'recovering votes do not count',
    rule: 'lost write',
    file: voteCount,
    from: 'vote !== undefined && (context.countsRecoveringVoters || !vote.wasRecovering)',
    to: 'vote !== undefined',
  },
  {
    name: 'only stores in sync are elected',
    rule: 'lost write',
    file: voter,
    from: 'if (request.duty === primaryLease && !grant.inSyncSet.includes(request.node))',
    to: 'if (false)',
  },
  {
    name: 'only stores in sync stand',
    rule: 'lost write',
    file: candidacy,
    from: 'state.metadata.inSyncSet.includes(ownId(state)) && state.excludedAtEpoch <= state.metadata.epoch;',
    to: 'true;',
  },
  {
    name: 'the backup has it before the answer',
    rule: 'lost write',
    file: primaryWrite,
    from: 'const isComplete = unacknowledgedBackups(state, next).length === 0; if (isComplete) return prependEffects(',
    to: 'if (true) return prependEffects(',
  },
  {
    name: 'every backup in sync has it before the answer',
    rule: 'lost write',
    file: primaryWrite,
    from: 'const isComplete = isRequired && unacknowledgedBackups(state, next).length === 0; return isComplete ?',
    to: 'return true ?',
  },
  {
    name: 'the own disk has it before the answer',
    rule: 'lost write',
    file: primaryWrite,
    from: 'return transition({ ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 }, ...effects, diskWrite(primaryWrite));',
    to: 'return prependEffects([...effects, diskWrite(primaryWrite)], commitWrite({ ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 }, primaryWrite, now));',
  },
  {
    name: 'what lasts is never told as refused',
    rule: 'R2',
    file: primaryWrite,
    from: 'const rejections = primaryWrite.isOnOwnDisk ? unknownOutcomeReplies(primaryWrite.replies) : ',
    to: 'const rejections = ',
  },
  {
    name: 'a primary answers only while it holds',
    rule: 'lost write',
    file: primaryWrite,
    from: 'if (!holdsLeaseOf(state, primaryWrite, now)) return transition(state); const next',
    to: 'const next',
  },
  {
    name: 'a generation is made from its base',
    rule: 'generation',
    file: applyConfiguration,
    from: 'if (command.baseGeneration !== undefined && command.baseGeneration !== current)',
    to: 'if (false)',
  },
  {
    name: 'an invalid description is refused whole',
    rule: 'whole',
    file: applyConfiguration,
    from: 'if (command.issues.length > 0)',
    to: 'if (false)',
  },
  {
    name: 'a number has one content',
    rule: 'generation',
    file: applyConfiguration,
    from: 'if (taken !== undefined && taken !== command.hash)',
    to: 'if (false)',
  },
  {
    name: 'a number keeps its content once another is in force',
    rule: 'generation',
    file: applyConfiguration,
    from: 'if (kept !== undefined) return kept;',
    to: '',
  },
  {
    name: 'a lower number alters nothing',
    rule: 'generation',
    file: applyConfiguration,
    from: 'if (requestedGeneration <= current) return alreadySuperseded(control, command, requestedGeneration);',
    to: '',
  },
  {
    name: 'an order that others followed is known again',
    rule: 'order',
    file: releaseRollout,
    from: "if (repeated !== undefined) return { kind: 'alreadyAccepted', rolloutNumber: repeated.order };",
    to: '',
  },
  {
    name: 'an order that was judged bad is known again after its term',
    rule: 'order',
    file: releaseRollout,
    from: 'elapsedMs < Math.max(known.spanMs, duplicateWindowMs)',
    to: 'elapsedMs < known.spanMs',
  },
  {
    name: 'a call is answered once',
    rule: 'whole',
    file: decision,
    from: 'if (outcome === undefined) return undefined; const reply',
    to: 'if (outcome !== undefined || outcome === undefined) return undefined; const reply',
  },
  {
    name: 'a bad verdict stays',
    rule: 'R10',
    file: decideCanary,
    from: "state: recorded?.state === 'bad' ? 'bad' : ",
    to: 'state: ',
  },
  {
    name: 'never a lower generation',
    rule: 'R5',
    file: 'proxy-core/dist/node-agent/config-update.js',
    from: 'if (state.compiledConfiguration !== undefined && offer.generation <= state.compiledConfiguration.generation)',
    to: 'if (false)',
  },
  {
    name: 'no refusal of what may have run, at a keeper',
    rule: 'R2',
    file: 'proxy-core/dist/service-leader/attempt-result.js',
    from: 'if (!request.mayHaveRun) return rejectRequest(request.id,',
    to: 'if (true) return rejectRequest(request.id,',
  },
  {
    name: 'no refusal of what may have run, in a waitlist',
    rule: 'R2',
    file: 'proxy-core/dist/service-leader/queue-wait.js',
    from: "request.mayHaveRun ? rejectRequest(request.id, { errorKind: 'lost', text: 'no further leg in time', retryAfterMs: 0, }) : ",
    to: '',
  },
  {
    name: 'no refusal of what may have run, at an edge',
    rule: 'R2',
    file: 'proxy-core/dist/forwarding/forward-request.js',
    from: "errorKind: errorKind === 'rejected' && request.mayHaveRun ? 'lost' : errorKind",
    to: 'errorKind',
  },
  {
    name: 'a caller that left is told that it may have run',
    rule: 'R2',
    file: forwarding,
    from: "errorKind: isWaiting ? 'rejected' : 'unknown'",
    to: "errorKind: 'rejected'",
  },
  {
    name: 'a result has the told length',
    rule: 'R3',
    file: responseVerifier,
    from: 'if (contentLength !== undefined && this.#receivedBytes !== contentLength)',
    to: 'if (false)',
  },
  {
    name: 'a result fits its digest',
    rule: 'R3',
    file: responseVerifier,
    from: "else if (digest === 'mismatch')",
    to: 'else if (false)',
  },
  {
    name: 'a result names the instance that was asked',
    rule: 'R3',
    file: responseVerifier,
    from: 'if (respondingInstance !== this.#request.instance)',
    to: 'if (false)',
  },
  {
    name: 'the end of a stream is held back',
    rule: 'R3',
    file: requestState,
    from: 'this.#heldChunk = { bytes, onReady }; if (previousChunk !== undefined) phase.stream.write(previousChunk.bytes, previousChunk.onReady);',
    to: 'phase.stream.write(bytes, onReady);',
  },
  {
    name: 'one stream for each ask',
    rule: 'R3',
    file: inboundRequests,
    from: 'if (inbound === undefined || inbound.isStreaming) return undefined;',
    to: 'if (inbound === undefined) return undefined;',
  },
  {
    name: 'the other legs of a stream are cut',
    rule: 'R3',
    file: 'proxy-core/dist/service-leader/attempt-result.js',
    from: '.filter((attempt) => attempt.id !== attemptId).map(cancelAttempt)',
    to: '.filter(() => false)',
  },
  {
    name: 'a result comes from the keeper that was asked',
    rule: 'R3',
    file: 'proxy-core/dist/request-handler/forwarded-requests.js',
    from: 'return request?.hasResponse === true && request.leader === from ? request : undefined;',
    to: 'return request?.hasResponse === true ? request : undefined;',
  },
  {
    name: 'caches speak only as far as they know all purges',
    rule: 'R7',
    file: 'proxy-core/dist/node-agent/readiness.js',
    from: 'state.purgesCurrentAsOf !== undefined && now - state.purgesCurrentAsOf < cacheLeaseMs',
    to: 'true',
  },
  {
    name: 'a shield that is behind does not answer from its cache',
    rule: 'R7',
    file: cacheLookup,
    from: 'mayServeFromCache(nodeAgent, now) && this.cache.lastPurgeSeq >= requiredPurgeSeq',
    to: 'mayServeFromCache(nodeAgent, now)',
  },
  {
    name: 'what was fetched before a purge is not kept',
    rule: 'R7',
    file: cache,
    from: ' || this.isPurgedSince(key, tags, purgeSeqAtFetch)',
    to: '',
  },
  {
    name: 'a lifetime ends',
    rule: 'R7',
    file: cache,
    from: 'if (now - entry.createdAt >= entry.lifetimeMs) {',
    to: 'if (false) {',
  },
  {
    name: 'an edge does not tell what was long under way',
    rule: 'R7',
    file: edgeRequestHandler,
    from: 'return (now - sentAt > purgeCheckThresholdMs &&',
    to: 'return (false &&',
  },
  {
    name: 'an edge that slept does not tell what it had',
    rule: 'R7',
    file: edgeRequestHandler,
    from: 'if (lastResumedAt > sentAt)',
    to: 'if (false)',
  },
  {
    name: 'a shield that slept does not tell what it had',
    rule: 'R7',
    file: 'proxy-core/dist/request-handler/origin-attempts.js',
    from: 'return (this.#context.state().lastResumedAt > startedAt && ',
    to: 'return (false && ',
  },
  {
    name: 'leaving and gone are final',
    rule: 'R6',
    file: origins,
    from: 'departureRank(announced.state) > departureRank(known.state) ? announced.state : known.state',
    to: 'latest.state',
  },
  {
    name: 'an address belongs to one instance',
    rule: 'R6',
    file: origins,
    from: "if (announced.state === 'up') {",
    to: 'if (false) {',
  },
  {
    name: 'a registry out of touch takes no announcements',
    rule: 'R6',
    file: departures,
    from: 'if (!hasMajorityContact(state, now)) {',
    to: 'if (false) {',
  },
  {
    name: 'a departure is told once a majority has it',
    rule: 'R6',
    file: departures,
    from: 'return informed.length >= quorumSize(electorate.members.length);',
    to: 'return true;',
  },
  {
    name: 'the budget of extra legs',
    rule: 'R8',
    file: 'proxy-core/dist/service-leader/extra-attempt-budget.js',
    from: 'return (windowSum(state.recentExtraAttempts, now) + 1 <= base + extraAttemptShare * windowSum(state.recentRequests, now));',
    to: 'return true;',
  },
  {
    name: 'a new keeper begins with a small budget',
    rule: 'R8',
    file: 'proxy-core/dist/service-leader/extra-attempt-budget.js',
    from: 'now - state.startedAt < extraAttemptWindowMs ? Math.floor(newLeaderExtraBase / 2 ** (state.recentLeaderCount - 1)) : extraAttemptBase',
    to: 'now - state.startedAt < extraAttemptWindowMs ? newLeaderExtraBase : extraAttemptBase',
  },
  {
    name: 'a new keeper begins with an empty ceiling',
    rule: 'R9',
    file: 'proxy-core/dist/service-leader/state.js',
    from: 'tokens: 0, refilledAt: now',
    to: 'tokens: (serviceConfiguration.perSecond ?? 0) * 3, refilledAt: now',
  },
  {
    name: 'the ceiling',
    rule: 'R9',
    file: 'proxy-core/dist/service-leader/rate-limit.js',
    from: 'state.serviceConfiguration.perSecond === undefined || state.tokens >= 1',
    to: 'true',
  },
  {
    name: 'health checks count under a ceiling',
    rule: 'R9',
    file: 'proxy-core/dist/service-leader/health-checks.js',
    from: 'tokens: tokensAfterSend(state), endpoints',
    to: 'endpoints',
  },
  {
    name: 'the share of a trial',
    rule: 'R10',
    file: canary,
    from: "canary.state === 'good' || canary.usedRequests < allowance(state, canary)",
    to: 'true',
  },
  {
    name: 'a trial is reserved before it is used',
    rule: 'R10',
    file: canary,
    from: 'Math.min(canary.reservedRequests, Math.floor(trafficBudget(state, canary)))',
    to: 'Math.floor(trafficBudget(state, canary))',
  },
  {
    name: 'a bad release is judged',
    rule: 'R10',
    file: canary,
    from: 'canary.failures >= maxCanaryFailures || (canary.failures >= minFailuresToReject && canary.failures > maxCanaryFailureShare * (canary.successes + canary.failures))',
    to: 'false',
  },
  {
    name: 'callers are taken for a while after a stop began',
    rule: 'R11',
    file: 'proxy-core/dist/proxy/shutdown-phase.js',
    from: "role === 'edge' ? edgeGraceMs : shieldGraceMs",
    to: '0',
  },
  {
    name: 'a stop waits for what is open',
    rule: 'R11',
    file: 'proxy-core/dist/proxy/shutdown-phase.js',
    from: 'if (openCount === 0)',
    to: 'if (true)',
  },
  {
    name: 'a keeper hands over as it stops',
    rule: 'R11',
    file: 'proxy-core/dist/node-agent/lease-handover.js',
    from: 'if (!holdsLease(candidate, now)) continue; const successor',
    to: 'if (true)\n            continue;\n        const successor',
  },
];
