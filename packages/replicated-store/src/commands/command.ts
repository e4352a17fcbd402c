/**
 * Commands: what is to become part of a write, in its turn, whether an operator sent it or the primary made
 * it itself; and the replies to those that an operator sent.
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

/** Who waits for the reply to an operator's command: the registry that forwarded it, and the command's id. */
export interface Caller {
  readonly to: Address;
  readonly id: CommandId;
}

/** What is to become part of a write; those with a caller are an operator's. */
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
  /** Chunks of a configuration that is too large for one write: they are stored before it. */
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

/** A service leader's counts of a canary; `at` is by the sender's clock and comes back in the reply. */
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

/** The reply to an operator's command: an HTTP status and a body of JSON. */
export interface CommandReply {
  readonly to: Address;
  readonly id: CommandId;
  readonly status: number;
  readonly body: string;
}

/** An operator's command to put a configuration in force. */
export type ApplyCommand = Extract<Command, { kind: 'applyConfiguration' }>;
