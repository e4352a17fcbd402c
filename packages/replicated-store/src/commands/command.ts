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

/** Who waits for the answer to a call. */
export interface Caller {
  readonly to: Address;
  readonly id: CommandId;
}

/** What is to become one write, in its turn. */
export type Command =
  | {
      readonly kind: 'apply';
      readonly asker: Caller;
      readonly hash: Hash;
      readonly order: readonly Hash[];
      readonly base: Generation | undefined;
      readonly number: Generation | undefined;
      readonly faults: readonly ValidationIssue[];
    }
  /** Pieces of a description that is too large for one write: they are stored before it. */
  | { readonly kind: 'pieces'; readonly hashes: readonly Hash[] }
  | { readonly kind: 'purge'; readonly asker: Caller; readonly aims: readonly PurgeTarget[] }
  | { readonly kind: 'electorate'; readonly asker: Caller; readonly electorate: Electorate }
  | { readonly kind: 'seats'; readonly electorate: Electorate }
  | {
      readonly kind: 'node';
      readonly node: NodeId;
      readonly role: string;
      readonly incarnation: Incarnation;
      readonly online: boolean;
      readonly report: NodeStatus;
    }
  | { readonly kind: 'forget'; readonly node: NodeId }
  | { readonly kind: 'trial'; readonly to: Address; readonly word: CanaryReport }
  | {
      readonly kind: 'order';
      readonly asker: Caller;
      readonly service: ServiceName;
      readonly target: Release;
      readonly spanMs: number;
    }
  | { readonly kind: 'release'; readonly next: ReleaseRollout }
  | { readonly kind: 'origins'; readonly sure: boolean }
  | { readonly kind: 'plan' }
  | { readonly kind: 'turn' };

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

export interface CommandReply {
  readonly to: Address;
  readonly id: CommandId;
  readonly status: number;
  readonly body: string;
}

/** An operator's command to put a configuration in force. */
export type ApplyCommand = Extract<Command, { kind: 'apply' }>;
