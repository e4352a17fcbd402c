/**
 * Commands of the command queue, sent by operators or created by the primary itself, and replies to operators'
 * commands.
 */

import type {
  Address,
  CommandId,
  Generation,
  Hash,
  Incarnation,
  NodeId,
  Release,
  ServiceName,
  Timestamp,
} from '@switchwheel/types';
import type { Electorate, NodeStatus, PurgeTarget } from '@switchwheel/transport';
import type { ReleaseRollout, ValidationIssue } from '@switchwheel/configuration';

/** Return address of an operator's command: the registry that forwarded it, and the command id. */
export interface Caller {
  readonly to: Address;
  readonly id: CommandId;
}

/** Queued command, executed as part of a write. Commands with a caller were sent by an operator. */
export type Command =
  | {
      readonly kind: 'applyConfiguration';
      readonly caller: Caller;
      readonly hash: Hash;
      readonly chunkHashes: readonly Hash[];
      readonly baseGeneration: Generation | undefined;
      readonly requestedGeneration: Generation | undefined;
      readonly issues: readonly ValidationIssue[];
    }
  /** Stores chunks in advance of a configuration that is too large for one write. */
  | { readonly kind: 'storeChunks'; readonly hashes: readonly Hash[] }
  | { readonly kind: 'purge'; readonly caller: Caller; readonly targets: readonly PurgeTarget[] }
  | { readonly kind: 'changeElectorate'; readonly caller: Caller; readonly electorate: Electorate }
  | { readonly kind: 'followRegistries'; readonly electorate: Electorate }
  | {
      readonly kind: 'recordNode';
      readonly node: NodeId;
      readonly role: string;
      readonly incarnation: Incarnation;
      readonly online: boolean;
      readonly report: NodeStatus;
    }
  | { readonly kind: 'forgetNode'; readonly node: NodeId }
  | { readonly kind: 'recordCanary'; readonly to: Address; readonly report: CanaryReport }
  | {
      readonly kind: 'requestRollout';
      readonly caller: Caller;
      readonly service: ServiceName;
      readonly target: Release;
      readonly spanMs: number;
    }
  | { readonly kind: 'recordRelease'; readonly record: ReleaseRollout }
  | { readonly kind: 'recordOrigins'; readonly isAnnouncementComplete: boolean }
  | { readonly kind: 'planRollout' }
  | { readonly kind: 'advanceRollout' };

/** Canary counts of a service leader; `at` is by the sender's clock and is echoed in the reply. */
export interface CanaryReport {
  readonly service: ServiceName;
  readonly release: Release;
  readonly spent: number;
  readonly bad: number;
  readonly good: number;
  readonly seen: number;
  readonly state: 'trial' | 'good' | 'bad';
  readonly at: Timestamp;
}

/** Reply to an operator's command: an HTTP status and a JSON body. */
export interface CommandReply {
  readonly to: Address;
  readonly id: CommandId;
  readonly status: number;
  readonly body: string;
}

/** Operator's command to apply a configuration. */
export type ApplyCommand = Extract<Command, { kind: 'applyConfiguration' }>;
