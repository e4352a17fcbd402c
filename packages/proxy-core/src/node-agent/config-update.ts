/**
 * Update of a node's configuration: chunks of an offered configuration are fetched from the
 * registry, compiled by the program, and applied. The running generation never decreases.
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

/** Time without any chunk after which the missing ones are requested again. */
const chunkRetryIntervalMs = 300;
/** Maximum number of chunks per request; the next request follows once all of them have arrived. */
const maxChunksPerRequest = 64;
/** Duration of a fetch above which it is logged as slow. */
const slowFetchThresholdMs = 600;
/** Maximum number of validation issues listed in logs and status reports. */
const maxReportedIssues = 5;

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

/**
 * Compiles an offered configuration if all its chunks have arrived; otherwise requests missing
 * ones.
 */
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

/**
 * Starts the update to an offered configuration, unless the running one or the update in progress
 * is at least as new, or a newer one failed to compile.
 */
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

/**
 * Stores a requested chunk if its content matches its hash, and continues the update once all
 * requested chunks have arrived.
 */
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

/** Requests the missing chunks again if none has arrived within the retry interval. */
export const retryFetch = (
  state: NodeAgent,
  askedRegistry: Address | undefined,
  now: Timestamp,
): AgentTransition => {
  const update = state.configUpdate;
  if (update.phase !== 'fetching' || now - update.requestedAt < chunkRetryIntervalMs)
    return transition(state);
  const isSlow = now - update.startedAt >= slowFetchThresholdMs;
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

/** Reports an invariant violation: a compiled generation below the running one is not applied. */
const rejectLowerGeneration = (state: NodeAgent): AgentTransition =>
  transition(
    {
      ...state,
      configUpdate: { phase: 'idle' },
      violations: countViolations(state.violations, ['generation-rises']),
    },
    log('error', 'an invariant is broken', ['invariant', 'generation-rises']),
  );

/** Applies a compiled configuration and reports it with an immediate heartbeat. */
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

/**
 * Reports a configuration that does not compile. The node is not ready until a newer one is
 * applied.
 */
export const onCompileFailed = (
  state: NodeAgent,
  { offer, issues, now }: CompileFailed,
): AgentTransition => {
  const text = issues
    .slice(0, maxReportedIssues)
    .map((issue) => `${issue.path}: ${issue.text}`)
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
        'configuration does not compile; requests are rejected until a valid one is applied',
        ['generation', offer.generation],
        ['reason', text],
      ),
    ],
    sendHeartbeatNow(next, now),
  );
};
