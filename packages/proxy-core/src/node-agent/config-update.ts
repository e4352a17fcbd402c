/**
 * The update of a node's configuration: the chunks of an offered one are fetched from the registry,
 * compiled by the program, and adopted. The generation that runs never goes down.
 */

import {
  type Address,
  type Timestamp,
  countViolations,
  filterEntries,
  noGeneration,
  prependEffects,
  transition,
  withEntry,
} from '@switchwheel/types';
import {
  type ConfigManifest,
  type FrameOf,
  type ProcessEffect,
  log,
  send,
} from '@switchwheel/transport';
import { contentHash } from '@switchwheel/configuration';
import { dropAppliedGenerations } from './config-freshness.js';
import { sendHeartbeatNow } from './heartbeat.js';
import type { AgentTransition, ConfigUpdate, NodeAgent, NodeAgentEvent } from './state.js';

type Fetching = Extract<ConfigUpdate, { phase: 'fetching' }>;
type ConfigurationCompiled = Extract<NodeAgentEvent, { kind: 'configurationCompiled' }>;
type CompileFailed = Extract<NodeAgentEvent, { kind: 'compileFailed' }>;

/** After how long without a chunk the missing ones are requested again. */
const chunkRetryIntervalMs = 300;
/** How many chunks are requested at a time; the next ones when these are here. */
const maxChunksPerRequest = 64;
/** How long a fetch may take before it is logged. */
const slowFetchMs = 600;
/** How many faults of a configuration are named in logs and status reports. */
const maxReportedFaults = 5;

const missingChunks = (state: NodeAgent, offer: ConfigManifest): ConfigManifest['pieces'] =>
  offer.pieces.filter((hash) => !state.chunks.has(hash));

const compile = (
  state: NodeAgent,
  offer: ConfigManifest,
  startedAt: Timestamp,
  now: Timestamp,
): AgentTransition =>
  transition(
    { ...state, configUpdate: { phase: 'compiling', offer, startedAt, fetchedAt: now } },
    {
      kind: 'compileConfiguration',
      offer,
      chunkTexts: offer.pieces.map((hash) => state.chunks.get(hash) ?? ''),
      previous: state.compiledConfiguration,
    },
  );

const requestChunks = (
  { nodeSession }: NodeAgent,
  hashes: ConfigManifest['pieces'],
): readonly ProcessEffect[] =>
  nodeSession.registryLink === undefined
    ? []
    : [
        send(nodeSession.registryLink.address, {
          kind: 'piece-request',
          node: nodeSession.member.node,
          hashes: [...hashes],
        }),
      ];

/** Compiles an offered configuration once all its chunks are here, or requests missing ones. */
const continueUpdate = (
  state: NodeAgent,
  offer: ConfigManifest,
  now: Timestamp,
): AgentTransition => {
  const update = state.configUpdate;
  const isSameOffer = update.phase === 'fetching' && update.offer.generation === offer.generation;
  const startedAt = isSameOffer ? update.startedAt : now;
  const missing = missingChunks(state, offer);
  if (missing.length === 0) return compile(state, offer, startedAt, now);
  const requested = missing.slice(0, maxChunksPerRequest);
  const configUpdate: Fetching = {
    phase: 'fetching',
    offer,
    startedAt,
    requestedAt: now,
    outstandingChunks: requested.length,
  };
  return transition({ ...state, configUpdate }, ...requestChunks(state, requested));
};

/** Takes an offered configuration, unless what runs, is under way or has failed is as new. */
export const onOffer = (
  state: NodeAgent,
  offer: ConfigManifest,
  now: Timestamp,
): AgentTransition => {
  const update = state.configUpdate;
  if (
    state.compiledConfiguration !== undefined &&
    offer.generation <= state.compiledConfiguration.generation
  )
    return transition(state);
  if (update.phase !== 'idle' && offer.generation <= update.offer.generation)
    return transition(state);
  if (state.failedUpdate !== undefined && offer.generation < state.failedUpdate.offer.generation)
    return transition(state);
  return continueUpdate(state, offer, now);
};

/** Keeps a requested chunk, if it has the content that its hash names. */
export const onChunk = (
  state: NodeAgent,
  { hash, data }: FrameOf<'piece'>,
  now: Timestamp,
): AgentTransition => {
  const update = state.configUpdate;
  if (
    update.phase !== 'fetching' ||
    !update.offer.pieces.includes(hash) ||
    contentHash(data) !== hash ||
    state.chunks.has(hash)
  )
    return transition(state);
  const outstandingChunks = update.outstandingChunks - 1;
  const next: NodeAgent = {
    ...state,
    chunks: withEntry(state.chunks, hash, data),
    configUpdate: { ...update, requestedAt: now, outstandingChunks },
  };
  return outstandingChunks <= 0 ? continueUpdate(next, update.offer, now) : transition(next);
};

const slowFetchWarning = (
  state: NodeAgent,
  update: Fetching,
  registry: Address | undefined,
  now: Timestamp,
): ProcessEffect =>
  log(
    'warn',
    'configuration fetch is slow',
    ['generation', update.offer.generation],
    ['missing', missingChunks(state, update.offer).length],
    ['forMs', Math.round(now - update.startedAt)],
    ['registry', registry ?? 'none'],
  );

/** Requests missing chunks again if none has come for a while from the registry that was asked. */
export const retryFetch = (
  state: NodeAgent,
  askedRegistry: Address | undefined,
  now: Timestamp,
): AgentTransition => {
  const update = state.configUpdate;
  if (update.phase !== 'fetching' || now - update.requestedAt < chunkRetryIntervalMs)
    return transition(state);
  const isSlow = now - update.startedAt >= slowFetchMs;
  return prependEffects(
    isSlow ? [slowFetchWarning(state, update, askedRegistry, now)] : [],
    continueUpdate(state, update.offer, now),
  );
};

const durations = (update: ConfigUpdate, now: Timestamp): (readonly [string, number])[] =>
  update.phase === 'compiling'
    ? [
        ['fetchMs', Math.round(update.fetchedAt - update.startedAt)],
        ['compileMs', Math.round(now - update.fetchedAt)],
      ]
    : [];

/** A compiled generation below the one that runs is a fault of this program: it is not adopted. */
const rejectLowerGeneration = (state: NodeAgent): AgentTransition =>
  transition(
    {
      ...state,
      configUpdate: { phase: 'idle' },
      violations: countViolations(state.violations, ['generation-rises']),
    },
    log('error', 'an invariant is broken', ['invariant', 'generation-rises']),
  );

/** Adopts a compiled configuration and reports it at once. */
export const onConfigurationCompiled = (
  state: NodeAgent,
  { offer, compiledConfiguration, now }: ConfigurationCompiled,
): AgentTransition => {
  const update = state.configUpdate;
  const { generation } = compiledConfiguration;
  if (update.phase === 'idle' || update.offer.generation !== offer.generation)
    return transition(state);
  if (generation < (state.compiledConfiguration?.generation ?? noGeneration))
    return rejectLowerGeneration(state);
  const hashes = new Set(offer.pieces);
  const next: NodeAgent = {
    ...state,
    compiledConfiguration,
    configFreshness: dropAppliedGenerations(state.configFreshness, generation),
    configUpdate: { phase: 'idle' },
    failedUpdate: undefined,
    chunks: filterEntries(state.chunks, (_, hash) => hashes.has(hash)),
  };
  return prependEffects(
    [
      { kind: 'adoptConfiguration', compiledConfiguration },
      log(
        'info',
        'configuration applied',
        ['generation', offer.generation],
        ...durations(update, now),
      ),
    ],
    sendHeartbeatNow(next, now),
  );
};

/** Reports a configuration that does not compile; the node is not ready until a newer one does. */
export const onCompileFailed = (
  state: NodeAgent,
  { offer, issues, now }: CompileFailed,
): AgentTransition => {
  const text = issues
    .slice(0, maxReportedFaults)
    .map((fault) => `${fault.path}: ${fault.text}`)
    .join('; ');
  const next: NodeAgent = {
    ...state,
    configUpdate: { phase: 'idle' },
    failedUpdate: { offer, text },
  };
  return prependEffects(
    [
      log(
        'error',
        'configuration can not be applied, requests are refused until one can',
        ['generation', offer.generation],
        ['reason', text],
      ),
    ],
    sendHeartbeatNow(next, now),
  );
};
