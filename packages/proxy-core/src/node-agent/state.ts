/**
 * The state of a node agent, the events that change it and the effects that it asks for.
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

/** How far the update to an offered configuration is. */
export type ConfigUpdate =
  | { readonly phase: 'idle' }
  | {
      readonly phase: 'fetching';
      readonly offer: ConfigManifest;
      readonly startedAt: Timestamp;
      /** When chunks were last requested, or one came in. */
      readonly requestedAt: Timestamp;
      /** How many of the requested chunks have not come in. */
      readonly outstandingChunks: number;
    }
  | {
      readonly phase: 'compiling';
      readonly offer: ConfigManifest;
      readonly startedAt: Timestamp;
      readonly fetchedAt: Timestamp;
    };

/** A configuration that did not compile. */
export interface FailedUpdate {
  readonly offer: ConfigManifest;
  readonly text: string;
}

/** The whole state of a node agent: its session, configuration, purges and candidacies. */
export interface NodeAgent {
  readonly nodeSession: NodeSession;
  /** The configuration that the node runs. */
  readonly compiledConfiguration: CompiledConfiguration | undefined;
  readonly configUpdate: ConfigUpdate;
  /** The chunks of the running configuration and of the one that is fetched. */
  readonly chunks: ReadonlyMap<Hash, string>;
  readonly failedUpdate: FailedUpdate | undefined;
  /** The last purge that was applied. */
  readonly lastPurgeSeq: Seq;
  /** As of when this node is known to have applied every accepted purge. */
  readonly purgesCurrentAsOf: Timestamp | undefined;
  readonly configFreshness: ConfigFreshness;
  readonly canaryResults: readonly CanaryResult[];
  /** Which release each service's requests go to, as last heard. */
  readonly releaseStates: ReadonlyMap<ServiceName, RolloutState>;
  /** When a registry with fresh contact to the primary last confirmed them. */
  readonly releaseStatesAt: Timestamp;
  /** This shield's candidacies; a service without one has an idle candidate. */
  readonly candidates: ReadonlyMap<ServiceName, Candidate>;
  /** Since when each lease that has no live holder is seen vacant. */
  readonly vacantSince: ReadonlyMap<LeaseName, Timestamp>;
  readonly isStopping: boolean;
  /** How often each invariant was violated here. */
  readonly violations: Violations;
  readonly randomState: RandomState;
}

/** What happens to a node agent; times are of the monotonic clock. */
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

/** What a node agent asks of the program around it. */
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
      /** Whether the whole cache goes, as purges were missed. */
      readonly flush: boolean;
      readonly lastPurgeSeq: Seq;
    }
  /** The lease of a service was acquired. */
  | { readonly kind: 'startLeading'; readonly service: ServiceName; readonly candidate: Candidate }
  /** The lease of a service was lost or given up. */
  | { readonly kind: 'stopLeading'; readonly service: ServiceName };

/** Gives the session random draws of its own, apart from those of the candidacies. */
const sessionSeedMask = 0x2545f491;

/** The state of a node that has just started and knows the addresses of some registries. */
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

/** A node agent's state after an event, and the effects that the event asks for. */
export type AgentTransition = Transition<NodeAgent, NodeAgentEffect>;
