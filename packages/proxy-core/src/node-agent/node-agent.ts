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
  type ConfigManifest,
  type RolloutState,
  type NodeStatus,
  type ProcessEffect,
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
import { contentHash } from '@switchwheel/configuration';
import {
  handOverLeases,
  heldLeases,
  onHandover,
  onVote,
  tickCandidacies,
  applyVacantLeases,
} from './leader-candidacy.js';
import { updateConfigFreshness, dropAppliedGenerations } from './config-freshness.js';
import type { NodeAgent, NodeAgentEffect, NodeAgentEvent } from './state.js';

type AgentTransition = Transition<NodeAgent, NodeAgentEffect>;
const chunkRetryMs = 300;
/** How many pieces are asked for at a time: the next ones when these are here. */
const maxChunksPerRequest = 64;
/** How long pieces of an offer may fail to come before that is logged. */
const slowFetchMs = 600;
/** How long a cache may serve after it last was known to hold all purges. */
export const cacheLeaseMs = 1500;

/** Whether callers that come all the same are served: the platform needs a moment to see that a node is stopping. */
export const acceptsRequests = (state: NodeAgent, now: Timestamp): boolean =>
  state.compiledConfiguration !== undefined &&
  state.failedUpdate === undefined &&
  (state.isStopping || isConnected(state.nodeSession, now));

/** Whether this node reports ready: it runs the newest it knows of, its session stands, and it is not stopping. */
export const isReady = (state: NodeAgent, now: Timestamp): boolean =>
  acceptsRequests(state, now) && !state.isStopping;

/** Whether results may be told from a cache now. */
export const mayServeFromCache = (state: NodeAgent, now: Timestamp): boolean =>
  state.purgesCurrentAsOf !== undefined && now - state.purgesCurrentAsOf < cacheLeaseMs;

const statusReport = (state: NodeAgent, now: Timestamp): NodeStatus => {
  const table = state.compiledConfiguration;
  const failed = state.failedUpdate;
  const phase =
    state.configUpdate.phase !== 'idle' && failed === undefined
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
      parts: [{ name: 'cache', healthy: mayServeFromCache(state, now), text: '', parts: [] }],
    },
  };
};

const releaseStatesDigests = new WeakMap<NodeAgent['releaseStates'], string>();

const releaseStatesDigest = (releases: NodeAgent['releaseStates']): string => {
  const known = releaseStatesDigests.get(releases) ?? releasesDigest(releases.values());
  releaseStatesDigests.set(releases, known);
  return known;
};

const heartbeatContent = (state: NodeAgent, now: Timestamp, bye = false): HeartbeatContent => ({
  report: statusReport(state, now),
  heldLeases: [...heldLeases(state, now), ...state.nodeSession.holders.values()],
  latestPurge: state.lastPurgeSeq,
  isLeaving: bye,
  releasesDigest: releaseStatesDigest(state.releaseStates),
});

const sendStatus = (state: NodeAgent, now: Timestamp): AgentTransition => {
  const hailed = sendHeartbeat(state.nodeSession, heartbeatContent(state, now), now);
  return transition({ ...state, nodeSession: hailed.state }, ...hailed.effects);
};

/** Goes on with an offer once all its pieces are here, or asks for those that are not. */
const continueUpdate = (
  state: NodeAgent,
  offer: ConfigManifest,
  now: Timestamp,
): AgentTransition => {
  const missing = offer.pieces.filter((one) => !state.chunks.has(one));
  const fitting = state.configUpdate;
  const since =
    fitting.phase === 'fetching' && fitting.offer.generation === offer.generation
      ? fitting.startedAt
      : now;
  if (missing.length === 0) {
    const texts = offer.pieces.map((one) => state.chunks.get(one) ?? '');
    return transition(
      { ...state, configUpdate: { phase: 'compiling', offer, startedAt: since, fetchedAt: now } },
      {
        kind: 'compileConfiguration',
        offer,
        chunkTexts: texts,
        previous: state.compiledConfiguration,
      },
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
            hashes: missing.slice(0, maxChunksPerRequest),
          }),
        ];
  return transition(
    {
      ...state,
      configUpdate: {
        phase: 'fetching',
        offer,
        startedAt: since,
        requestedAt: now,
        outstandingChunks: Math.min(maxChunksPerRequest, missing.length),
      },
    },
    ...asked,
  );
};

/** Takes an offer; never one that is lower than what runs or is being fitted. */
const onOffer = (state: NodeAgent, offer: ConfigManifest, now: Timestamp): AgentTransition => {
  if (
    state.compiledConfiguration !== undefined &&
    offer.generation <= state.compiledConfiguration.generation
  )
    return transition(state);
  const fitting = state.configUpdate;
  if (fitting.phase !== 'idle' && offer.generation <= fitting.offer.generation)
    return transition(state);
  if (state.failedUpdate !== undefined && offer.generation < state.failedUpdate.offer.generation)
    return transition(state);
  return continueUpdate(state, offer, now);
};

const applyPurges = (state: NodeAgent, word: FrameOf<'heartbeat-reply'>): AgentTransition => {
  if (word.top <= state.lastPurgeSeq) return transition(state);
  const fresh = word.purges
    .filter((one) => one.seq > state.lastPurgeSeq)
    .sort((one, two) => one.seq - two.seq);
  const first = fresh[0];
  const whole =
    first !== undefined &&
    first.seq === state.lastPurgeSeq + 1 &&
    fresh.length === word.top - state.lastPurgeSeq;
  const lost = state.lastPurgeSeq + 1 < word.floor;
  if (whole)
    return transition(
      { ...state, lastPurgeSeq: word.top },
      { kind: 'purgeCache', purges: fresh, flush: false, lastPurgeSeq: word.top },
    );
  // Too old to catch up: all that is cached goes.
  if (lost || state.lastPurgeSeq === 0)
    return transition(
      { ...state, lastPurgeSeq: word.top },
      { kind: 'purgeCache', purges: [], flush: true, lastPurgeSeq: word.top },
    );
  return transition(state);
};

/** Only the highest state of a service counts, whoever tells it. */
const mergeReleaseStates = (
  known: NodeAgent['releaseStates'],
  told: readonly RolloutState[],
): NodeAgent['releaseStates'] => {
  const fresh = told.filter((one) => one.serial >= (known.get(one.service)?.serial ?? 0));
  return fresh.length === 0
    ? known
    : new Map([...known, ...fresh.map((one) => [one.service, one] as const)]);
};

const onHeartbeatReply = (
  before: NodeAgent,
  from: Peer,
  word: FrameOf<'heartbeat-reply'>,
  now: Timestamp,
): AgentTransition => {
  const nodeSession = applyHeartbeatReply(before.nodeSession, from, word, now);
  const purged = applyPurges(
    {
      ...applyVacantLeases({ ...before, nodeSession }, word, now),
      canaryResults: word.age === undefined ? before.canaryResults : word.verdicts,
      configFreshness: updateConfigFreshness(
        before.configFreshness,
        word,
        before.compiledConfiguration?.generation ?? noGeneration,
        now,
      ),
      releaseStates: mergeReleaseStates(before.releaseStates, word.releases),
      releaseStatesAt: word.age === undefined ? before.releaseStatesAt : now,
    },
    word,
  );
  let state = purged.state;
  if (
    word.age !== undefined &&
    word.at > 0 &&
    state.lastPurgeSeq >= word.top &&
    before.nodeSession.registryLink?.address === from.address
  ) {
    const asOf = toTimestamp(word.at - word.age);
    if (state.purgesCurrentAsOf === undefined || asOf > state.purgesCurrentAsOf)
      state = { ...state, purgesCurrentAsOf: asOf };
  }
  const offered =
    word.offer === undefined
      ? transition<NodeAgent, NodeAgentEffect>(state)
      : onOffer(state, word.offer, now);
  return prependEffects(purged.effects, offered);
};

const onChunk = (state: NodeAgent, word: FrameOf<'piece'>, now: Timestamp): AgentTransition => {
  const fitting = state.configUpdate;
  if (
    fitting.phase !== 'fetching' ||
    !fitting.offer.pieces.includes(word.hash) ||
    contentHash(word.data) !== word.hash
  )
    return transition(state);
  if (state.chunks.has(word.hash)) return transition(state);
  const next = {
    ...state,
    chunks: withEntry(state.chunks, word.hash, word.data),
    configUpdate: {
      ...fitting,
      requestedAt: now,
      outstandingChunks: fitting.outstandingChunks - 1,
    },
  };
  return next.configUpdate.outstandingChunks <= 0
    ? continueUpdate(next, fitting.offer, now)
    : transition(next);
};

const onConfigurationCompiled = (
  state: NodeAgent,
  offer: ConfigManifest,
  event: Extract<NodeAgentEvent, { kind: 'configurationCompiled' }>,
): AgentTransition => {
  const fitting = state.configUpdate;
  if (fitting.phase === 'idle' || fitting.offer.generation !== offer.generation)
    return transition(state);
  if (
    event.compiledConfiguration.generation <
    (state.compiledConfiguration?.generation ?? noGeneration)
  )
    return transition(
      {
        ...state,
        configUpdate: { phase: 'idle' },
        violations: countViolations(state.violations, ['generation-rises']),
      },
      log('error', 'an invariant is broken', ['invariant', 'generation-rises']),
    );
  const keep = new Set(offer.pieces);
  const spans =
    fitting.phase === 'compiling'
      ? [
          ['fetchMs', Math.round(fitting.fetchedAt - fitting.startedAt)] as const,
          ['compileMs', Math.round(event.now - fitting.fetchedAt)] as const,
        ]
      : [];
  const next: NodeAgent = {
    ...state,
    compiledConfiguration: event.compiledConfiguration,
    configFreshness: dropAppliedGenerations(
      state.configFreshness,
      event.compiledConfiguration.generation,
    ),
    configUpdate: { phase: 'idle' },
    failedUpdate: undefined,
    chunks: filterEntries(state.chunks, (_, hash) => keep.has(hash)),
  };
  return prependEffects(
    [
      { kind: 'adoptConfiguration', compiledConfiguration: event.compiledConfiguration },
      log('info', 'in force', ['generation', offer.generation], ...spans),
    ],
    sendStatus(next, event.now),
  );
};

const onCompileFailed = (
  state: NodeAgent,
  event: Extract<NodeAgentEvent, { kind: 'compileFailed' }>,
): AgentTransition => {
  const text = event.faults
    .slice(0, 5)
    .map((one) => `${one.path}: ${one.text}`)
    .join('; ');
  const next: NodeAgent = {
    ...state,
    configUpdate: { phase: 'idle' },
    failedUpdate: { offer: event.offer, text },
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
    sendStatus(next, event.now),
  );
};

/** Tells that pieces of an offer do not come, and who was asked for them. */
const slowFetchWarning = (
  state: NodeAgent,
  fetching: Extract<NodeAgent['configUpdate'], { phase: 'fetching' }>,
  now: Timestamp,
): ProcessEffect =>
  log(
    'warn',
    'pieces of an offer do not come',
    ['generation', fetching.offer.generation],
    ['missing', fetching.offer.pieces.filter((one) => !state.chunks.has(one)).length],
    ['forMs', Math.round(now - fetching.startedAt)],
    ['asked', state.nodeSession.registryLink?.address ?? 'nobody'],
  );

const onTick = (state: NodeAgent, now: Timestamp): AgentTransition => {
  const drifted = tickSession(state.nodeSession, heartbeatContent(state, now), now);
  let next: AgentTransition = transition(
    { ...state, nodeSession: drifted.state },
    ...drifted.effects,
  );
  const fitting = next.state.configUpdate;
  if (fitting.phase === 'fetching' && now - fitting.requestedAt >= chunkRetryMs) {
    const late =
      now - fitting.startedAt >= slowFetchMs ? [slowFetchWarning(state, fitting, now)] : [];
    next = prependEffects(
      [...next.effects, ...late],
      continueUpdate(next.state, fitting.offer, now),
    );
  }
  return prependEffects(next.effects, tickCandidacies(next.state, now));
};

const onFrame = (state: NodeAgent, from: Peer, frame: Frame, now: Timestamp): AgentTransition => {
  switch (frame.kind) {
    case 'heartbeat-reply':
      return onHeartbeatReply(state, from, frame, now);
    case 'member-list':
      return transition({
        ...state,
        nodeSession: applyMemberList(state.nodeSession, from, frame, now),
      });
    case 'piece':
      return onChunk(state, frame, now);
    case 'vote':
      return onVote(state, frame, now);
    case 'handover':
      return onHandover(state, frame, now);
    case 'tried':
      return transition({
        ...state,
        canaryResults: [
          ...state.canaryResults.filter(
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
export const nodeAgentTransition = (state: NodeAgent, event: NodeAgentEvent): AgentTransition => {
  switch (event.kind) {
    case 'tick':
      return onTick(state, event.now);
    case 'frameReceived':
      return onFrame(state, event.from, event.frame, event.now);
    case 'peerDisconnected':
      return transition({
        ...state,
        nodeSession: onRegistryLost(state.nodeSession, event.address, event.now),
      });
    case 'configurationCompiled':
      return onConfigurationCompiled(state, event.offer, event);
    case 'compileFailed':
      return onCompileFailed(state, event);
    case 'stopRequested': {
      const given = handOverLeases({ ...state, isStopping: true }, event.now);
      const bye = sendHeartbeat(
        given.state.nodeSession,
        heartbeatContent(given.state, event.now, true),
        event.now,
      );
      return prependEffects(
        [...given.effects],
        transition({ ...given.state, nodeSession: bye.state }, ...bye.effects),
      );
    }
  }
};
