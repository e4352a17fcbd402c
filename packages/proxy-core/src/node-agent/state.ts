import {
  type Address,
  type RandomState,
  type LeaseName,
  type Hash,
  type Timestamp,
  type Seq,
  type ServiceName,
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

/** What a node is doing about an offered description. */
export type ConfigUpdate =
  | { readonly phase: 'idle' }
  | {
      readonly phase: 'fetching';
      readonly offer: ConfigManifest;
      readonly startedAt: Timestamp;
      readonly requestedAt: Timestamp;
      readonly outstandingChunks: number;
    }
  | {
      readonly phase: 'compiling';
      readonly offer: ConfigManifest;
      readonly startedAt: Timestamp;
      readonly fetchedAt: Timestamp;
    };

/** The control side of a proxy: its session, its description, its purges and its duties. */
export interface NodeAgent {
  readonly nodeSession: NodeSession;
  readonly compiledConfiguration: CompiledConfiguration | undefined;
  readonly configUpdate: ConfigUpdate;
  readonly chunks: ReadonlyMap<Hash, string>;
  readonly failedUpdate: { readonly offer: ConfigManifest; readonly text: string } | undefined;
  /** The last purge that was acted on. */
  readonly lastPurgeSeq: Seq;
  /** As of when this node is known to have acted on every accepted purge. */
  readonly purgesCurrentAsOf: Timestamp | undefined;
  readonly configFreshness: ConfigFreshness;
  readonly canaryResults: readonly CanaryResult[];
  /** Which release each service's requests go to, as last told. */
  readonly releaseStates: ReadonlyMap<ServiceName, RolloutState>;
  readonly releaseStatesAt: Timestamp;
  readonly candidates: ReadonlyMap<ServiceName, Candidate>;
  /** Since when each duty is seen vacant. */
  readonly vacantSince: ReadonlyMap<LeaseName, Timestamp>;
  readonly isStopping: boolean;
  /** How often each invariant was found broken here. */
  readonly violations: Violations;
  readonly randomState: RandomState;
}

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
      readonly faults: readonly ValidationIssue[];
    }
  | { readonly kind: 'stopRequested'; readonly now: Timestamp };

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
      readonly flush: boolean;
      readonly lastPurgeSeq: Seq;
    }
  | { readonly kind: 'startLeading'; readonly service: ServiceName; readonly candidate: Candidate }
  | { readonly kind: 'stopLeading'; readonly service: ServiceName };

export const newNodeAgent = (
  member: Member,
  seeds: readonly Address[],
  dice: RandomState,
): NodeAgent => ({
  nodeSession: newNodeSession(member, seeds, { seed: dice.seed ^ 0x2545f491 }),
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
  randomState: dice,
});
