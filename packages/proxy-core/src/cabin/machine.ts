import {
  type Timestamp,
  type Transition,
  countViolations,
  prependEffects,
  noGeneration,
  withEntry,
  filterEntries,
  transition,
  toTimestamp,
} from '@switchwheel/types';
import {
  type Peer,
  type Frame,
  type FrameOf,
  type Offer,
  type ReleaseState,
  type Report,
  type WireEffect,
  log,
  send,
} from '@switchwheel/transport';
import {
  type HeartbeatContent,
  onRegistryLost,
  tickSession,
  sendHeartbeat,
  isConnected,
  releasesDigest,
  applyHeartbeatReply,
  applyMemberList,
} from '@switchwheel/membership';
import { hashOf } from '@switchwheel/configuration';
import { handOver, heldNow, onHandover, onVote, passDuties, takeVacant } from './duties.js';
import { learnNewest, noteInForce } from './newest.js';
import type { Cabin, CabinEffect, CabinEvent } from './state.js';

type Done = Transition<Cabin, CabinEffect>;
const wantSpan = 300;
/** How many pieces are asked for at a time: the next ones when these are here. */
const wantMost = 64;
/** How long pieces of an offer may fail to come before that is logged. */
const lateFetchSpan = 600;
/** How long a cache may serve after it last was known to hold all purges. */
export const cacheLease = 1500;

/** Whether callers that come all the same are served: the platform needs a moment to see that a node is stopping. */
export const takes = (state: Cabin, now: Timestamp): boolean =>
  state.table !== undefined &&
  state.failed === undefined &&
  (state.stopping || isConnected(state.nodeSession, now));

/** Whether this node reports ready: it runs the newest it knows of, its session stands, and it is not stopping. */
export const isReady = (state: Cabin, now: Timestamp): boolean =>
  takes(state, now) && !state.stopping;

/** Whether results may be told from a cache now. */
export const mayServe = (state: Cabin, now: Timestamp): boolean =>
  state.asOf !== undefined && now - state.asOf < cacheLease;

const reportOf = (state: Cabin, now: Timestamp): Report => {
  const table = state.table;
  const failed = state.failed;
  const phase =
    state.fitting.phase !== 'idle' && failed === undefined
      ? ('applying' as const)
      : failed !== undefined
        ? ('failed' as const)
        : table === undefined
          ? ('none' as const)
          : ('applied' as const);
  return {
    generation: table?.generation ?? noGeneration,
    ...(table === undefined ? {} : { hash: table.hash }),
    phase: phase === 'applying' && table === undefined ? 'none' : phase,
    ...(failed === undefined
      ? {}
      : {
          failed: {
            generation: failed.offer.generation,
            hash: failed.offer.hash,
            text: failed.text,
          },
        }),
    ready: isReady(state, now),
    health: {
      name: 'proxy',
      healthy: failed === undefined,
      text: failed === undefined ? '' : failed.text,
      parts: [{ name: 'cache', healthy: mayServe(state, now), text: '', parts: [] }],
    },
  };
};

const digests = new WeakMap<Cabin['releases'], string>();

const digestOf = (releases: Cabin['releases']): string => {
  const known = digests.get(releases) ?? releasesDigest(releases.values());
  digests.set(releases, known);
  return known;
};

const words = (state: Cabin, now: Timestamp, bye = false): HeartbeatContent => ({
  report: reportOf(state, now),
  held: [...heldNow(state, now), ...state.nodeSession.holders.values()],
  purged: state.purged,
  bye,
  releases: digestOf(state.releases),
});

const speak = (state: Cabin, now: Timestamp): Done => {
  const hailed = sendHeartbeat(state.nodeSession, words(state, now), now);
  return transition({ ...state, nodeSession: hailed.state }, ...hailed.effects);
};

/** Goes on with an offer once all its pieces are here, or asks for those that are not. */
const fit = (state: Cabin, offer: Offer, now: Timestamp): Done => {
  const missing = offer.pieces.filter((one) => !state.pieces.has(one));
  const fitting = state.fitting;
  const since =
    fitting.phase === 'fetching' && fitting.offer.generation === offer.generation
      ? fitting.since
      : now;
  if (missing.length === 0) {
    const texts = offer.pieces.map((one) => state.pieces.get(one) ?? '');
    return transition(
      { ...state, fitting: { phase: 'compiling', offer, since, whole: now } },
      { kind: 'build', offer, texts, before: state.table },
    );
  }
  const to = state.nodeSession.registryLink?.address;
  const asked =
    to === undefined
      ? []
      : [
          send(to, {
            kind: 'piece-request',
            node: state.nodeSession.member.node,
            hashes: missing.slice(0, wantMost),
          }),
        ];
  return transition(
    {
      ...state,
      fitting: {
        phase: 'fetching',
        offer,
        since,
        asked: now,
        awaited: Math.min(wantMost, missing.length),
      },
    },
    ...asked,
  );
};

/** Takes an offer; never one that is lower than what runs or is being fitted. */
const onOffer = (state: Cabin, offer: Offer, now: Timestamp): Done => {
  if (state.table !== undefined && offer.generation <= state.table.generation)
    return transition(state);
  const fitting = state.fitting;
  if (fitting.phase !== 'idle' && offer.generation <= fitting.offer.generation)
    return transition(state);
  if (state.failed !== undefined && offer.generation < state.failed.offer.generation)
    return transition(state);
  return fit(state, offer, now);
};

const onPurges = (state: Cabin, word: FrameOf<'heartbeat-reply'>): Done => {
  if (word.top <= state.purged) return transition(state);
  const fresh = word.purges
    .filter((one) => one.seq > state.purged)
    .sort((one, two) => one.seq - two.seq);
  const first = fresh[0];
  const whole =
    first !== undefined &&
    first.seq === state.purged + 1 &&
    fresh.length === word.top - state.purged;
  const lost = state.purged + 1 < word.floor;
  if (whole)
    return transition(
      { ...state, purged: word.top },
      { kind: 'purge', purges: fresh, flush: false, top: word.top },
    );
  // Too old to catch up: all that is cached goes.
  if (lost || state.purged === 0)
    return transition(
      { ...state, purged: word.top },
      { kind: 'purge', purges: [], flush: true, top: word.top },
    );
  return transition(state);
};

/** Only the highest state of a service counts, whoever tells it. */
const learnReleases = (
  known: Cabin['releases'],
  told: readonly ReleaseState[],
): Cabin['releases'] => {
  const fresh = told.filter((one) => one.serial >= (known.get(one.service)?.serial ?? 0));
  return fresh.length === 0
    ? known
    : new Map([...known, ...fresh.map((one) => [one.service, one] as const)]);
};

const onHeard = (
  before: Cabin,
  from: Peer,
  word: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): Done => {
  const nodeSession = applyHeartbeatReply(before.nodeSession, from, word, now);
  const purged = onPurges(
    {
      ...takeVacant({ ...before, nodeSession }, word, now),
      verdicts: word.age === undefined ? before.verdicts : word.verdicts,
      newest: learnNewest(before.newest, word, before.table?.generation ?? noGeneration, now),
      releases: learnReleases(before.releases, word.releases),
      releasesAt: word.age === undefined ? before.releasesAt : now,
    },
    word,
  );
  let state = purged.state;
  if (
    word.age !== undefined &&
    word.at > 0 &&
    state.purged >= word.top &&
    before.nodeSession.registryLink?.address === from.address
  ) {
    const asOf = toTimestamp(word.at - word.age);
    if (state.asOf === undefined || asOf > state.asOf) state = { ...state, asOf };
  }
  const offered =
    word.offer === undefined
      ? transition<Cabin, CabinEffect>(state)
      : onOffer(state, word.offer, now);
  return prependEffects(purged.effects, offered);
};

const onPiece = (state: Cabin, word: FrameOf<'piece'>, now: Timestamp): Done => {
  const fitting = state.fitting;
  if (
    fitting.phase !== 'fetching' ||
    !fitting.offer.pieces.includes(word.hash) ||
    hashOf(word.data) !== word.hash
  )
    return transition(state);
  if (state.pieces.has(word.hash)) return transition(state);
  const next = {
    ...state,
    pieces: withEntry(state.pieces, word.hash, word.data),
    fitting: { ...fitting, asked: now, awaited: fitting.awaited - 1 },
  };
  return next.fitting.awaited <= 0 ? fit(next, fitting.offer, now) : transition(next);
};

const onBuilt = (
  state: Cabin,
  offer: Offer,
  event: Extract<CabinEvent, { kind: 'built' }>,
): Done => {
  const fitting = state.fitting;
  if (fitting.phase === 'idle' || fitting.offer.generation !== offer.generation)
    return transition(state);
  if (event.table.generation < (state.table?.generation ?? noGeneration))
    return transition(
      {
        ...state,
        fitting: { phase: 'idle' },
        violations: countViolations(state.violations, ['generation-rises']),
      },
      log('error', 'an invariant is broken', ['invariant', 'generation-rises']),
    );
  const keep = new Set(offer.pieces);
  const spans =
    fitting.phase === 'compiling'
      ? [
          ['fetchMs', Math.round(fitting.whole - fitting.since)] as const,
          ['compileMs', Math.round(event.now - fitting.whole)] as const,
        ]
      : [];
  const next: Cabin = {
    ...state,
    table: event.table,
    newest: noteInForce(state.newest, event.table.generation),
    fitting: { phase: 'idle' },
    failed: undefined,
    pieces: filterEntries(state.pieces, (_, hash) => keep.has(hash)),
  };
  return prependEffects(
    [
      { kind: 'adopt', table: event.table },
      log('info', 'in force', ['generation', offer.generation], ...spans),
    ],
    speak(next, event.now),
  );
};

const onUnbuilt = (state: Cabin, event: Extract<CabinEvent, { kind: 'unbuilt' }>): Done => {
  const text = event.faults
    .slice(0, 5)
    .map((one) => `${one.path}: ${one.text}`)
    .join('; ');
  const next: Cabin = {
    ...state,
    fitting: { phase: 'idle' },
    failed: { offer: event.offer, text },
  };
  return prependEffects(
    [
      log(
        'error',
        'a description can not be applied; bouncing until one can',
        ['generation', event.offer.generation],
        ['why', text],
      ),
    ],
    speak(next, event.now),
  );
};

/** Tells that pieces of an offer do not come, and who was asked for them. */
const lateFetch = (
  state: Cabin,
  fetching: Extract<Cabin['fitting'], { phase: 'fetching' }>,
  now: Timestamp,
): WireEffect =>
  log(
    'warn',
    'pieces of an offer do not come',
    ['generation', fetching.offer.generation],
    ['missing', fetching.offer.pieces.filter((one) => !state.pieces.has(one)).length],
    ['forMs', Math.round(now - fetching.since)],
    ['asked', state.nodeSession.registryLink?.address ?? 'nobody'],
  );

const onTick = (state: Cabin, now: Timestamp): Done => {
  const drifted = tickSession(state.nodeSession, words(state, now), now);
  let next: Done = transition({ ...state, nodeSession: drifted.state }, ...drifted.effects);
  const fitting = next.state.fitting;
  if (fitting.phase === 'fetching' && now - fitting.asked >= wantSpan) {
    const late = now - fitting.since >= lateFetchSpan ? [lateFetch(state, fitting, now)] : [];
    next = prependEffects([...next.effects, ...late], fit(next.state, fitting.offer, now));
  }
  return prependEffects(next.effects, passDuties(next.state, now));
};

const onFrame = (state: Cabin, from: Peer, frame: Frame, now: Timestamp): Done => {
  switch (frame.kind) {
    case 'heartbeat-reply':
      return onHeard(state, from, frame, now);
    case 'member-list':
      return transition({
        ...state,
        nodeSession: applyMemberList(state.nodeSession, from, frame, now),
      });
    case 'piece':
      return onPiece(state, frame, now);
    case 'vote':
      return onVote(state, frame, now);
    case 'handover':
      return onHandover(state, frame, now);
    case 'tried':
      return transition({
        ...state,
        verdicts: [
          ...state.verdicts.filter(
            (one) => one.service !== frame.verdict.service || one.release !== frame.verdict.release,
          ),
          frame.verdict,
        ],
      });
    // The data side of an edge takes these.
    case 'object-request':
    case 'object':
    case 'object-status':
      return transition(state);
    default:
      return transition(
        state,
        log(
          'warn',
          'a frame this program does not take',
          ['frame', frame.kind],
          ['from', from.node],
        ),
      );
  }
};

/** The control side of a proxy: one function for every change of its state. */
export const cabinStep = (state: Cabin, event: CabinEvent): Done => {
  switch (event.kind) {
    case 'tick':
      return onTick(state, event.now);
    case 'frame':
      return onFrame(state, event.from, event.frame, event.now);
    case 'gone':
      return transition({
        ...state,
        nodeSession: onRegistryLost(state.nodeSession, event.address, event.now),
      });
    case 'built':
      return onBuilt(state, event.offer, event);
    case 'unbuilt':
      return onUnbuilt(state, event);
    case 'stop': {
      const given = handOver({ ...state, stopping: true }, event.now);
      const bye = sendHeartbeat(
        given.state.nodeSession,
        words(given.state, event.now, true),
        event.now,
      );
      return prependEffects(
        [...given.effects],
        transition({ ...given.state, nodeSession: bye.state }, ...bye.effects),
      );
    }
  }
};
