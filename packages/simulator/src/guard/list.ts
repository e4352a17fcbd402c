/** Guards whose removal some test must detect: mutation testing with hand-picked mutations. */

/**
 * A piece of built code that enforces a rule, and its replacement without the guard. `from` must
 * occur exactly once in the file, white space ignored.
 */
export interface Guard {
  readonly name: string;
  readonly rule: string;
  /** Path of the built file below packages/. */
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

/** All guards that `npm run guards` removes one by one. */
export const guards: readonly Guard[] = [
  {
    name: 'unsafe requests are not retried',
    rule: 'R1',
    file: 'proxy-core/dist/service-leader/attempt-result.js',
    from: "outcome.kind === 'notRun' || outcome.kind === 'notSent' || request.isIdempotent;",
    to: 'true;',
  },
  {
    name: 'unsafe requests are not hedged',
    rule: 'R1',
    file: 'proxy-core/dist/service-leader/hedging.js',
    from: 'request === undefined || !request.isIdempotent || request.attemptCount >= 2',
    to: 'request === undefined || request.attemptCount >= 2',
  },
  {
    name: 'edges do not resend unsafe requests',
    rule: 'R1',
    file: 'proxy-core/dist/forwarding/leader-events.js',
    from: 'const isSafeToRetry = isUnsent || request.isIdempotent;',
    to: 'const isSafeToRetry = true;',
  },
  {
    name: 'unsafe requests are not moved from a service leader that may be frozen',
    rule: 'R1',
    file: 'proxy-core/dist/forwarding/leader-events.js',
    from: 'if (!request.isIdempotent || phase.epoch >= leader.epoch)',
    to: 'if (phase.epoch >= leader.epoch)',
  },
  {
    name: 'service leaders close when their lease expires',
    rule: 'R1',
    file: proxy,
    from: 'andThen(closeExpiredLeaders(recordEventTime(state, event.now), event.now), (current) => handleEvent(current, event))',
    to: 'handleEvent(recordEventTime(state, event.now), event)',
  },
  {
    name: 'safety margin at the end of a lease',
    rule: 'lease holder',
    file: voteCount,
    from: 'decisive + leaseMs - leaseSafetyMarginMs',
    to: 'decisive + leaseMs + 50',
  },
  {
    name: 'candidates step down when their lease expires',
    rule: 'lease holder',
    file: voteCount,
    from: "if (phase.phase === 'holdingLease' && now >= phase.leaseEndsAt)",
    to: 'if (false)',
  },
  {
    name: 'voters abstain after a restart',
    rule: 'lease holder',
    file: voter,
    from: 'if (now < abstentionEnd(state))',
    to: 'if (false)',
  },
  {
    name: 'voters respect a granted lease',
    rule: 'lease holder',
    file: voter,
    from: 'if (grant.leaseHolder !== request.node && now < grant.leaseEndsAt)',
    to: 'if (false)',
  },
  {
    name: 'votes of recovering voters do not count',
    rule: 'lost write',
    file: voteCount,
    from: 'vote !== undefined && (context.countsRecoveringVoters || !vote.wasRecovering)',
    to: 'vote !== undefined',
  },
  {
    name: 'voters vote only for in-sync stores',
    rule: 'lost write',
    file: voter,
    from: 'if (request.duty === primaryLease && !grant.inSyncSet.includes(request.node))',
    to: 'if (false)',
  },
  {
    name: 'only in-sync stores become candidates',
    rule: 'lost write',
    file: candidacy,
    from: 'state.metadata.inSyncSet.includes(ownId(state)) && state.excludedAtEpoch <= state.metadata.epoch;',
    to: 'true;',
  },
  {
    name: 'writes are on a backup before the reply',
    rule: 'lost write',
    file: primaryWrite,
    from: 'const isComplete = unacknowledgedBackups(state, next).length === 0; if (isComplete) return prependEffects(',
    to: 'if (true) return prependEffects(',
  },
  {
    name: 'writes are on every in-sync backup before the reply',
    rule: 'lost write',
    file: primaryWrite,
    from: 'const isComplete = isRequired && unacknowledgedBackups(state, next).length === 0; return isComplete ?',
    to: 'return true ?',
  },
  {
    name: 'writes are on the own disk before the reply',
    rule: 'lost write',
    file: primaryWrite,
    from: 'return transition({ ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 }, ...effects, diskWrite(primaryWrite));',
    to: 'return prependEffects([...effects, diskWrite(primaryWrite)], commitWrite({ ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 }, primaryWrite, now));',
  },
  {
    name: 'writes that are on disk are not reported as rejected',
    rule: 'R2',
    file: primaryWrite,
    from: 'const rejections = primaryWrite.isOnOwnDisk ? unknownOutcomeReplies(primaryWrite.replies) : ',
    to: 'const rejections = ',
  },
  {
    name: 'a primary replies only while it holds the lease',
    rule: 'lost write',
    file: primaryWrite,
    from: 'if (!holdsLeaseOf(state, primaryWrite, now)) return transition(state); const next',
    to: 'const next',
  },
  {
    name: 'a configuration with an outdated base is rejected',
    rule: 'generation',
    file: applyConfiguration,
    from: 'if (command.baseGeneration !== undefined && command.baseGeneration !== current)',
    to: 'if (false)',
  },
  {
    name: 'an invalid configuration is rejected',
    rule: 'validation',
    file: applyConfiguration,
    from: 'if (command.issues.length > 0)',
    to: 'if (false)',
  },
  {
    name: 'a number in use is rejected for another content',
    rule: 'generation',
    file: applyConfiguration,
    from: 'if (boundHash !== undefined && boundHash !== command.hash)',
    to: 'if (false)',
  },
  {
    name: 'a past number is rejected for another content',
    rule: 'generation',
    file: applyConfiguration,
    from: 'if (recordedHash !== undefined) return recordedHash;',
    to: '',
  },
  {
    name: 'a lower number has no effect',
    rule: 'generation',
    file: applyConfiguration,
    from: 'if (requestedGeneration <= current) return alreadySuperseded(control, command, requestedGeneration);',
    to: '',
  },
  {
    name: 'a repeated rollout request is recognized after later ones',
    rule: 'rollouts',
    file: releaseRollout,
    from: "if (repeated !== undefined) return { kind: 'alreadyAccepted', rolloutNumber: repeated.order };",
    to: '',
  },
  {
    name: 'a repeated rollout request is recognized after its duration has passed',
    rule: 'rollouts',
    file: releaseRollout,
    from: 'elapsedMs < Math.max(latest.spanMs, duplicateWindowMs)',
    to: 'elapsedMs < latest.spanMs',
  },
  {
    name: 'a repeated command gets the recorded outcome',
    rule: 'idempotence',
    file: decision,
    from: 'if (outcome === undefined) return undefined; const reply',
    to: 'if (outcome !== undefined || outcome === undefined) return undefined; const reply',
  },
  {
    name: 'a rejected release stays rejected',
    rule: 'R10',
    file: decideCanary,
    from: "state: recorded?.state === 'bad' ? 'bad' : ",
    to: 'state: ',
  },
  {
    name: 'nodes never activate a lower generation',
    rule: 'R5',
    file: 'proxy-core/dist/node-agent/config-update.js',
    from: 'if (state.compiledConfiguration !== undefined && offer.generation <= state.compiledConfiguration.generation)',
    to: 'if (false)',
  },
  {
    name: 'service leaders do not reject requests that may have run',
    rule: 'R2',
    file: 'proxy-core/dist/service-leader/attempt-result.js',
    from: 'if (!request.mayHaveRun) return rejectRequest(request.id,',
    to: 'if (true) return rejectRequest(request.id,',
  },
  {
    name: 'queues do not reject requests that may have run',
    rule: 'R2',
    file: 'proxy-core/dist/service-leader/queue-wait.js',
    from: "request.mayHaveRun ? rejectRequest(request.id, { errorKind: 'lost', text: 'no further leg in time', retryAfterMs: 0, }) : ",
    to: '',
  },
  {
    name: 'edges do not reject requests that may have run',
    rule: 'R2',
    file: 'proxy-core/dist/forwarding/forward-request.js',
    from: "errorKind: errorKind === 'rejected' && request.mayHaveRun ? 'lost' : errorKind",
    to: 'errorKind',
  },
  {
    name: 'a cancelled request that was sent has an unknown outcome',
    rule: 'R2',
    file: forwarding,
    from: "errorKind: isWaiting ? 'rejected' : 'unknown'",
    to: "errorKind: 'rejected'",
  },
  {
    name: 'response length matches content-length',
    rule: 'R3',
    file: responseVerifier,
    from: 'if (contentLength !== undefined && this.#receivedBytes !== contentLength)',
    to: 'if (false)',
  },
  {
    name: 'response matches its digest',
    rule: 'R3',
    file: responseVerifier,
    from: "else if (digest === 'mismatch')",
    to: 'else if (false)',
  },
  {
    name: 'response names the requested instance',
    rule: 'R3',
    file: responseVerifier,
    from: 'if (respondingInstance !== this.#request.instance)',
    to: 'if (false)',
  },
  {
    name: 'the last chunk of a stream is held until it is verified',
    rule: 'R3',
    file: requestState,
    from: 'this.#heldChunk = { bytes, onReady }; if (previousChunk !== undefined) phase.stream.write(previousChunk.bytes, previousChunk.onReady);',
    to: 'phase.stream.write(bytes, onReady);',
  },
  {
    name: 'one response stream per inbound request',
    rule: 'R3',
    file: inboundRequests,
    from: 'if (inbound === undefined || inbound.isStreaming) return undefined;',
    to: 'if (inbound === undefined) return undefined;',
  },
  {
    name: 'other attempts are cancelled when a response is used',
    rule: 'R3',
    file: 'proxy-core/dist/service-leader/attempt-result.js',
    from: '.filter((attempt) => attempt.id !== attemptId).map(cancelAttempt)',
    to: '.filter(() => false)',
  },
  {
    name: 'responses are accepted only from the current service leader',
    rule: 'R3',
    file: 'proxy-core/dist/request-handler/forwarded-requests.js',
    from: 'return request?.hasResponse === true && request.leader === from ? request : undefined;',
    to: 'return request?.hasResponse === true ? request : undefined;',
  },
  {
    name: 'caches serve only while their purges are current',
    rule: 'R7',
    file: 'proxy-core/dist/node-agent/readiness.js',
    from: 'state.purgesCurrentAsOf !== undefined && now - state.purgesCurrentAsOf < cacheLeaseMs',
    to: 'true',
  },
  {
    name: 'a shield that lacks required purges does not serve from its cache',
    rule: 'R7',
    file: cacheLookup,
    from: 'mayServeFromCache(nodeAgent, now) && this.cache.lastPurgeSeq >= requiredPurgeSeq',
    to: 'mayServeFromCache(nodeAgent, now)',
  },
  {
    name: 'responses fetched before a purge are not cached',
    rule: 'R7',
    file: cache,
    from: ' || this.isPurgedSince(key, tags, purgeSeqAtFetch)',
    to: '',
  },
  {
    name: 'cached responses expire',
    rule: 'R7',
    file: cache,
    from: 'if (now - entry.createdAt >= Math.min(entry.lifetimeMs, maxLifetimeMs)) {',
    to: 'if (false) {',
  },
  {
    name: 'edges check slow responses for purges',
    rule: 'R7',
    file: edgeRequestHandler,
    from: 'return (now - sentAt > purgeCheckThresholdMs &&',
    to: 'return (false &&',
  },
  {
    name: 'edges reject responses from before a pause of the process',
    rule: 'R7',
    file: edgeRequestHandler,
    from: 'if (lastResumedAt > sentAt)',
    to: 'if (false)',
  },
  {
    name: 'shields reject responses from before a pause of the process',
    rule: 'R7',
    file: 'proxy-core/dist/request-handler/origin-attempts.js',
    from: 'return (this.#context.state().lastResumedAt > startedAt && ',
    to: 'return (false && ',
  },
  {
    name: 'departures of origins are final',
    rule: 'R6',
    file: origins,
    from: 'departureRank(announced.state) > departureRank(known.state) ? announced.state : known.state',
    to: 'latest.state',
  },
  {
    name: 'an address belongs to one origin instance',
    rule: 'R6',
    file: origins,
    from: "if (announced.state === 'up') {",
    to: 'if (false) {',
  },
  {
    name: 'a disconnected registry accepts no announcements',
    rule: 'R6',
    file: departures,
    from: 'if (!hasMajorityContact(state, now)) {',
    to: 'if (false) {',
  },
  {
    name: 'a departure is confirmed only by a majority',
    rule: 'R6',
    file: departures,
    from: 'return informed.length >= quorumSize(electorate.members.length);',
    to: 'return true;',
  },
  {
    name: 'a departure is confirmed only once it is recorded',
    rule: 'R6',
    file: departures,
    from: 'return recorded !== undefined && departureRank(recorded) >= departureRank(departed.state);',
    to: 'return true;',
  },
  {
    name: 'budget of extra attempts',
    rule: 'R8',
    file: 'proxy-core/dist/service-leader/extra-attempt-budget.js',
    from: 'return (windowSum(state.recentExtraAttempts, now) + 1 <= base + extraAttemptShare * windowSum(state.recentRequests, now));',
    to: 'return true;',
  },
  {
    name: 'new service leaders start with a small budget of extra attempts',
    rule: 'R8',
    file: 'proxy-core/dist/service-leader/extra-attempt-budget.js',
    from: 'now - state.startedAt < extraAttemptWindowMs ? Math.floor(newLeaderExtraBase / 2 ** (state.recentLeaderCount - 1)) : extraAttemptBase',
    to: 'now - state.startedAt < extraAttemptWindowMs ? newLeaderExtraBase : extraAttemptBase',
  },
  {
    name: 'new service leaders start without rate limit tokens',
    rule: 'R9',
    file: 'proxy-core/dist/service-leader/state.js',
    from: 'tokens: 0, refilledAt: now',
    to: 'tokens: (serviceConfiguration.perSecond ?? 0) * 3, refilledAt: now',
  },
  {
    name: 'rate limit of a service',
    rule: 'R9',
    file: 'proxy-core/dist/service-leader/rate-limit.js',
    from: 'state.serviceConfiguration.perSecond === undefined || state.tokens >= 1',
    to: 'true',
  },
  {
    name: 'health checks count against the rate limit',
    rule: 'R9',
    file: 'proxy-core/dist/service-leader/health-checks.js',
    from: 'tokens: tokensAfterSend(state), endpoints',
    to: 'endpoints',
  },
  {
    name: 'traffic share of a canary',
    rule: 'R10',
    file: canary,
    from: "canary.state === 'good' || canary.usedRequests < allowance(state, canary)",
    to: 'true',
  },
  {
    name: 'canary requests are reserved before use',
    rule: 'R10',
    file: canary,
    from: 'Math.min(canary.reservedRequests, Math.floor(trafficBudget(state, canary)))',
    to: 'Math.floor(trafficBudget(state, canary))',
  },
  {
    name: 'bad releases are rejected',
    rule: 'R10',
    file: canary,
    from: 'canary.failures >= maxCanaryFailures || (canary.failures >= minFailuresToReject && canary.failures > maxCanaryFailureShare * (canary.successes + canary.failures))',
    to: 'false',
  },
  {
    name: 'requests are accepted for a grace period after a stop request',
    rule: 'R11',
    file: 'proxy-core/dist/proxy/shutdown-phase.js',
    from: "role === 'edge' ? edgeGraceMs : shieldGraceMs",
    to: '0',
  },
  {
    name: 'a stop waits for requests in progress',
    rule: 'R11',
    file: 'proxy-core/dist/proxy/shutdown-phase.js',
    from: 'if (openCount === 0)',
    to: 'if (true)',
  },
  {
    name: 'service leaders hand over their leases when they stop',
    rule: 'R11',
    file: 'proxy-core/dist/node-agent/lease-handover.js',
    from: 'if (!holdsLease(candidate, now)) continue; const successor',
    to: 'if (true)\n            continue;\n        const successor',
  },
];
