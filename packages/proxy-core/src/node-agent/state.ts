/**
 * State, events and effects of a node agent.
 */

import {
  type Address,
  type RandomState,
  type LeaseName,
  type Hash,
  type Timestamp,
  type Seq,
  type ServiceName,
  type Transition,
  type Violations,
  noSeq,
  noViolations,
  clockOrigin,
} from '@switchwheel/types';
import type {
  Member,
  ConfigManifest,
  Purge,
  RolloutState,
  CanaryResult,
  ProcessEffect,
  ProcessEvent,
} from '@switchwheel/transport';
import type { Candidate } from '@switchwheel/election';
import { type NodeSession, newNodeSession } from '@switchwheel/membership';
import type { ValidationIssue, CompiledConfiguration } from '@switchwheel/configuration';
import { type ConfigFreshness, initialConfigFreshness } from './config-freshness.js';

/** Progress of the update to an offered configuration. */
export type ConfigUpdate =
  | { readonly phase: 'idle' }
  | {
      readonly phase: 'fetching';
      readonly offer: ConfigManifest;
      readonly startedAt: Timestamp;
      /** Time of the last request for chunks or of the last chunk received. */
      readonly requestedAt: Timestamp;
      /** Number of requested chunks that have not arrived. */
      readonly outstandingChunks: number;
    }
  | {
      readonly phase: 'compiling';
      readonly offer: ConfigManifest;
      readonly startedAt: Timestamp;
      readonly fetchedAt: Timestamp;
    };

/** Offered configuration that did not compile, with its validation issues as text. */
export interface FailedUpdate {
  readonly offer: ConfigManifest;
  readonly text: string;
}

/** State of a node agent. */
export interface NodeAgent {
  readonly nodeSession: NodeSession;
  /** The configuration that the node is running. */
  readonly compiledConfiguration: CompiledConfiguration | undefined;
  readonly configUpdate: ConfigUpdate;
  /** Chunks of the running configuration and of the one being fetched. */
  readonly chunks: ReadonlyMap<Hash, string>;
  readonly failedUpdate: FailedUpdate | undefined;
  /** Sequence number of the last applied purge. */
  readonly lastPurgeSeq: Seq;
  /** Time up to which this node is known to have applied every accepted purge. */
  readonly purgesCurrentAsOf: Timestamp | undefined;
  readonly configFreshness: ConfigFreshness;
  readonly canaryResults: readonly CanaryResult[];
  /** Latest known rollout state of each service. */
  readonly releaseStates: ReadonlyMap<ServiceName, RolloutState>;
  /** Time of the last reply of a registry that has recent contact to the primary. */
  readonly releaseStatesAt: Timestamp;
  /** Candidacies of this shield; a service without an entry has an idle candidate. */
  readonly candidates: ReadonlyMap<ServiceName, Candidate>;
  /** Time since when each lease without a live holder has been vacant. */
  readonly vacantSince: ReadonlyMap<LeaseName, Timestamp>;
  readonly isStopping: boolean;
  /** Number of violations of each invariant. */
  readonly violations: Violations;
  readonly randomState: RandomState;
}

/** Event for a node agent; times are of the monotonic clock. */
export type NodeAgentEvent =
  | ProcessEvent
  | {
      readonly kind: 'configurationCompiled';
      readonly now: Timestamp;
      readonly offer: ConfigManifest;
      readonly compiledConfiguration: CompiledConfiguration;
    }
  | {
      readonly kind: 'compileFailed';
      readonly now: Timestamp;
      readonly offer: ConfigManifest;
      readonly issues: readonly ValidationIssue[];
    }
  | { readonly kind: 'stopRequested'; readonly now: Timestamp };

/** Effect that a node agent requests from the program. */
export type NodeAgentEffect =
  | ProcessEffect
  | {
      readonly kind: 'compileConfiguration';
      readonly offer: ConfigManifest;
      readonly chunkTexts: readonly string[];
      readonly previous: CompiledConfiguration | undefined;
    }
  | { readonly kind: 'adoptConfiguration'; readonly compiledConfiguration: CompiledConfiguration }
  | {
      readonly kind: 'purgeCache';
      readonly purges: readonly Purge[];
      /** Whether to flush the whole cache, because purges were missed. */
      readonly flush: boolean;
      readonly lastPurgeSeq: Seq;
    }
  /** The lease of a service was acquired. */
  | { readonly kind: 'startLeading'; readonly service: ServiceName; readonly candidate: Candidate }
  /** The lease of a service was lost or resigned. */
  | { readonly kind: 'stopLeading'; readonly service: ServiceName };

/**
 * Derives the session's random seed, so that its random numbers are independent of those of the
 * candidacies.
 */
const sessionSeedMask = 0x2545f491;

/** Returns the state of a node that has just started and knows the addresses of some registries. */
export const newNodeAgent = (
  member: Member,
  registryAddresses: readonly Address[],
  randomState: RandomState,
): NodeAgent => ({
  nodeSession: newNodeSession(member, registryAddresses, {
    seed: randomState.seed ^ sessionSeedMask,
  }),
  compiledConfiguration: undefined,
  configUpdate: { phase: 'idle' },
  chunks: new Map(),
  failedUpdate: undefined,
  lastPurgeSeq: noSeq,
  purgesCurrentAsOf: undefined,
  configFreshness: initialConfigFreshness,
  canaryResults: [],
  releaseStates: new Map(),
  releaseStatesAt: clockOrigin,
  candidates: new Map(),
  vacantSince: new Map(),
  isStopping: false,
  violations: noViolations,
  randomState,
});

/** State of a node agent after an event, with the requested effects. */
export type AgentTransition = Transition<NodeAgent, NodeAgentEffect>;
