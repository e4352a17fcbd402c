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

const keeper = 'proxy-core/dist/keeper/keeper.js';
const trial = 'proxy-core/dist/keeper/trial.js';
const forward = 'proxy-core/dist/forward/forward.js';
const taking = 'proxy-core/dist/line/taking.js';
const trip = 'proxy-core/dist/line/trip.js';
const edge = 'proxy-core/dist/line/edge.js';
const shield = 'proxy-core/dist/line/shield.js';
const dock = 'proxy-core/dist/line/dock.js';
const desk = 'proxy-core/dist/cache/desk.js';
const cache = 'proxy-core/dist/cache/cache.js';
const cabin = 'proxy-core/dist/cabin/machine.js';
const proxy = 'proxy-core/dist/proxy/machine.js';
const candidate = 'election/dist/candidate/candidate.js';
const voter = 'election/dist/voter/voter.js';
const primaryWrite = 'replicated-store/dist/primary-write/primary-write.js';
const decide = 'replicated-store/dist/command/decide.js';
const decideApply = 'replicated-store/dist/command/apply.js';
const decision = 'replicated-store/dist/command/decision.js';
const releaseOrder = 'configuration/dist/release/order.js';
const candidacy = 'replicated-store/dist/leadership/candidacy.js';
const origins = 'membership/dist/origins/origins.js';
const departures = 'membership/dist/registry/departures.js';

export const guards: readonly Guard[] = [
  {
    name: 'one leg for unsafe',
    rule: 'R1',
    file: keeper,
    from: "how.end === 'unrun' || how.end === 'unopened' || load.repeatable;",
    to: 'true;',
  },
  {
    name: 'no hedge for unsafe',
    rule: 'R1',
    file: keeper,
    from: 'load === undefined || !load.repeatable || load.legs >= 2',
    to: 'load === undefined || load.legs >= 2',
  },
  {
    name: 'edges never re-ask an unsafe request',
    rule: 'R1',
    file: forward,
    from: 'const safe = unsent.has(wagon.id) || wagon.repeatable;',
    to: 'const safe = true;',
  },
  {
    name: 'unsafe requests stay with a keeper that may be frozen',
    rule: 'R1',
    file: forward,
    from: 'else if (wagon.repeatable && wagon.stage.epoch < keeper.epoch)',
    to: 'else if (wagon.stage.epoch < keeper.epoch)',
  },
  {
    name: 'the fence of a keeper past its lease',
    rule: 'R1',
    file: proxy,
    from: 'then(fence(notice(state, event.now), event.now), (one) => act(one, event))',
    to: 'act(notice(state, event.now), event)',
  },
  {
    name: 'the margin of a lease',
    rule: 'one holder',
    file: candidate,
    from: 'last + lease - leaseMargin',
    to: 'last + lease + 50',
  },
  {
    name: 'a lease that ran out stays over',
    rule: 'one holder',
    file: candidate,
    from: "if (own.phase === 'holdingLease' && now >= own.until)",
    to: 'if (false)',
  },
  {
    name: 'a voter that restarted abstains',
    rule: 'one holder',
    file: voter,
    from: 'if (now < abstainsUntil(state))',
    to: 'if (false)',
  },
  {
    name: 'a lease that stands is respected',
    rule: 'one holder',
    file: voter,
    from: 'if (mine.lessee !== ballot.node && now < mine.until)',
    to: 'if (false)',
  },
  {
    name: 'recovering votes do not count',
    rule: 'lost write',
    file: candidate,
    from: 'one !== undefined && (context.countRecovering || !one.recovering)',
    to: 'one !== undefined',
  },
  {
    name: 'only stores in sync are elected',
    rule: 'lost write',
    file: voter,
    from: 'if (ballot.duty === primaryLease && !mine.inSyncSet.includes(ballot.node))',
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
    from: 'const whole = unconfirmedBackups(state, next).length === 0; if (whole) return prependEffects(',
    to: 'if (true) return prependEffects(',
  },
  {
    name: 'every backup in sync has it before the answer',
    rule: 'lost write',
    file: primaryWrite,
    from: 'const whole = isRequired && unconfirmedBackups(state, next).length === 0; return whole ?',
    to: 'return true ?',
  },
  {
    name: 'the own disk has it before the answer',
    rule: 'lost write',
    file: primaryWrite,
    from: 'return transition({ ...next, primaryWrite, nextId: state.nextId + 1 }, ...told, diskWrite(primaryWrite.id, primaryWrite.metadata, stamp, puts));',
    to: 'return prependEffects([...told, diskWrite(primaryWrite.id, primaryWrite.metadata, stamp, puts)], commitWrite({ ...next, primaryWrite, nextId: state.nextId + 1 }, primaryWrite, now));',
  },
  {
    name: 'what lasts is never told as refused',
    rule: 'R2',
    file: primaryWrite,
    from: 'const rejected = primaryWrite.onOwnDisk ? unknownOutcome(primaryWrite.results) : ',
    to: 'const rejected = ',
  },
  {
    name: 'a primary answers only while it holds',
    rule: 'lost write',
    file: primaryWrite,
    from: 'if (!holdsLease(state.candidate, now) || heldEpoch(state.candidate) !== primaryWrite.metadata.epoch) return transition(state); const next',
    to: 'const next',
  },
  {
    name: 'a generation is made from its base',
    rule: 'generation',
    file: decideApply,
    from: 'if (command.base !== undefined && command.base !== now)',
    to: 'if (false)',
  },
  {
    name: 'an invalid description is refused whole',
    rule: 'whole',
    file: decideApply,
    from: 'if (command.faults.length > 0)',
    to: 'if (false)',
  },
  {
    name: 'a number has one content',
    rule: 'generation',
    file: decideApply,
    from: 'if (taken !== undefined && taken !== command.hash)',
    to: 'if (false)',
  },
  {
    name: 'a number keeps its content once another is in force',
    rule: 'generation',
    file: decideApply,
    from: 'if (kept !== undefined) return kept;',
    to: '',
  },
  {
    name: 'a lower number alters nothing',
    rule: 'generation',
    file: decideApply,
    from: 'if (number <= now) return held(control, command, number);',
    to: '',
  },
  {
    name: 'an order that others followed is known again',
    rule: 'order',
    file: releaseOrder,
    from: "if (repeated !== undefined) return { kind: 'stands', order: repeated.order };",
    to: '',
  },
  {
    name: 'an order that was judged bad is known again after its term',
    rule: 'order',
    file: releaseOrder,
    from: 'spentMs < Math.max(known.spanMs, repeatMs)',
    to: 'spentMs < known.spanMs',
  },
  {
    name: 'a call is answered once',
    rule: 'whole',
    file: decision,
    from: 'if (before === undefined) return undefined; const answer',
    to: 'if (before !== undefined || before === undefined) return undefined; const answer',
  },
  {
    name: 'a bad verdict stays',
    rule: 'R10',
    file: decide,
    from: "state: known?.state === 'bad' ? 'bad' : ",
    to: 'state: ',
  },
  {
    name: 'never a lower generation',
    rule: 'R5',
    file: cabin,
    from: 'if (state.table !== undefined && offer.generation <= state.table.generation)',
    to: 'if (false)',
  },
  {
    name: 'no refusal of what may have run, at a keeper',
    rule: 'R2',
    file: keeper,
    from: "effects.push(!begun ? away(leg.ask, 'rejected', text, 500) : ",
    to: "effects.push(load !== undefined ? away(leg.ask, 'rejected', text, 500) : ",
  },
  {
    name: 'no refusal of what may have run, in a waitlist',
    rule: 'R2',
    file: keeper,
    from: "one.begun ? away(one.id, 'lost', 'no further leg in time', 0) : ",
    to: '',
  },
  {
    name: 'no refusal of what may have run, at an edge',
    rule: 'R2',
    file: forward,
    from: "errorKind: errorKind === 'rejected' && wagon.again ? 'lost' : errorKind",
    to: 'errorKind',
  },
  {
    name: 'a caller that left is told that it may have run',
    rule: 'R2',
    file: forward,
    from: "fail(wagon, wagon.stage.stage === 'waiting' ? 'rejected' : 'unknown', event.text",
    to: "fail(wagon, 'rejected', event.text",
  },
  {
    name: 'a result has the told length',
    rule: 'R3',
    file: taking,
    from: 'if (length !== undefined && this.#size !== length)',
    to: 'if (false)',
  },
  {
    name: 'a result fits its digest',
    rule: 'R3',
    file: taking,
    from: "else if (digest === 'unlike')",
    to: 'else if (false)',
  },
  {
    name: 'a result names the instance that was asked',
    rule: 'R3',
    file: taking,
    from: 'if (named !== this.#request.instance)',
    to: 'if (false)',
  },
  {
    name: 'the end of a stream is held back',
    rule: 'R3',
    file: trip,
    from: 'this.#held = { bytes, more };\n        if (before !== undefined)\n            stage.spout.write(before.bytes, before.more);',
    to: 'stage.spout.write(bytes, more);',
  },
  {
    name: 'one stream for each ask',
    rule: 'R3',
    file: dock,
    from: 'if (one === undefined || one.streaming)\n            return undefined;',
    to: 'if (one === undefined)\n            return undefined;',
  },
  {
    name: 'the other legs of a stream are cut',
    rule: 'R3',
    file: keeper,
    from: ".filter((one) => one.id !== id).map((one) => ({ kind: 'cut', leg: one.id }))",
    to: '.filter(() => false)',
  },
  {
    name: 'a result comes from the keeper that was asked',
    rule: 'R3',
    file: edge,
    from: 'return trip?.begun === true && trip.keeper === from ? trip : undefined;',
    to: 'return trip?.begun === true ? trip : undefined;',
  },
  {
    name: 'caches speak only as far as they know all purges',
    rule: 'R7',
    file: cabin,
    from: 'state.asOf !== undefined && now - state.asOf < cacheLease',
    to: 'true',
  },
  {
    name: 'a shield that is behind does not answer from its cache',
    rule: 'R7',
    file: desk,
    from: 'mayServe(cabin, now) && this.cache.top >= purged',
    to: 'mayServe(cabin, now)',
  },
  {
    name: 'what was fetched before a purge is not kept',
    rule: 'R7',
    file: cache,
    from: ' || this.purgedSince(key, tags, fetchedAt)',
    to: '',
  },
  {
    name: 'a lifetime ends',
    rule: 'R7',
    file: cache,
    from: 'if (now - found.born >= found.lifetime)',
    to: 'if (false)',
  },
  {
    name: 'an edge does not tell what was long under way',
    rule: 'R7',
    file: edge,
    from: 'return (at - sentAt > sureSpan &&',
    to: 'return (false &&',
  },
  {
    name: 'an edge that slept does not tell what it had',
    rule: 'R7',
    file: edge,
    from: 'if (woke > sentAt)',
    to: 'if (false)',
  },
  {
    name: 'a shield that slept does not tell what it had',
    rule: 'R7',
    file: shield,
    from: 'return this.#cab.state().woke > since && ',
    to: 'return false && ',
  },
  {
    name: 'leaving and gone are final',
    rule: 'R6',
    file: origins,
    from: 'rankOf(word.state) > rankOf(known.state) ? word.state : known.state',
    to: 'latest.state',
  },
  {
    name: 'an address belongs to one instance',
    rule: 'R6',
    file: origins,
    from: "if (word.state === 'up') {",
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
    from: 'return knowing.length >= majority(set.members.length);',
    to: 'return true;',
  },
  {
    name: 'the budget of extra legs',
    rule: 'R8',
    file: keeper,
    from: 'return sumOf(state.extra, now) + 1 <= base + extraShare * sumOf(state.traffic, now);',
    to: 'return true;',
  },
  {
    name: 'a new keeper begins with a small budget',
    rule: 'R8',
    file: keeper,
    from: 'now - state.opened < extraSpan ? Math.floor(firstBase / 2 ** (state.holdings - 1)) : extraBase',
    to: 'now - state.opened < extraSpan ? firstBase : extraBase',
  },
  {
    name: 'a new keeper begins with an empty ceiling',
    rule: 'R9',
    file: 'proxy-core/dist/keeper/state.js',
    from: 'tokens: 0, filled: now',
    to: 'tokens: (rules.perSecond ?? 0) * 3, filled: now',
  },
  {
    name: 'the ceiling',
    rule: 'R9',
    file: 'proxy-core/dist/keeper/ceiling.js',
    from: 'state.rules.perSecond === undefined || state.tokens >= 1',
    to: 'true',
  },
  {
    name: 'health checks count under a ceiling',
    rule: 'R9',
    file: 'proxy-core/dist/keeper/probes.js',
    from: 'tokens: tokensAfter(state), bays',
    to: 'bays',
  },
  {
    name: 'the share of a trial',
    rule: 'R10',
    file: trial,
    from: "trial.state === 'good' || trial.used < allowance(state, trial)",
    to: 'true',
  },
  {
    name: 'a trial is reserved before it is used',
    rule: 'R10',
    file: trial,
    from: 'Math.min(trial.granted, Math.floor(due(state, trial)))',
    to: 'Math.floor(due(state, trial))',
  },
  {
    name: 'a bad release is judged',
    rule: 'R10',
    file: trial,
    from: 'trial.bad >= badMost || (trial.bad >= 8 && trial.bad > 0.2 * (trial.good + trial.bad))',
    to: 'false',
  },
  {
    name: 'callers are taken for a while after a stop began',
    rule: 'R11',
    file: 'proxy-core/dist/proxy/depart.js',
    from: "role === 'edge' ? graceSpan : 100",
    to: '0',
  },
  {
    name: 'a stop waits for what is open',
    rule: 'R11',
    file: 'proxy-core/dist/proxy/depart.js',
    from: 'if (open === 0)',
    to: 'if (true)',
  },
  {
    name: 'a keeper hands over as it stops',
    rule: 'R11',
    file: 'proxy-core/dist/cabin/duties.js',
    from: 'if (!holdsLease(candidate, now)) continue; const heir',
    to: 'if (true)\n            continue;\n        const heir',
  },
];
