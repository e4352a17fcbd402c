import type {
  CallId,
  FleetId,
  Generation,
  Hash,
  Timestamp,
  NodeId,
  Release,
  ServiceName,
} from '@switchwheel/types';
import type { Aim, Origin, WireEffect, WireEvent } from '@switchwheel/transport';

/** An outside call, already read and checked for its form. */
export type Outside =
  | { readonly verb: 'announce'; readonly origin: Omit<Origin, 'age'> }
  | {
      readonly verb: 'apply';
      readonly id: CallId;
      readonly base: Generation | undefined;
      readonly number?: Generation | undefined;
      readonly hash: Hash;
      readonly order: readonly Hash[];
      readonly pieces: ReadonlyMap<Hash, string>;
    }
  | { readonly verb: 'purge'; readonly id: CallId; readonly aims: readonly Aim[] }
  | { readonly verb: 'ask'; readonly id: CallId; readonly about: CallId }
  | { readonly verb: 'view'; readonly id: CallId; readonly what: string }
  | {
      readonly verb: 'electorate';
      readonly id: CallId;
      readonly add: NodeId | undefined;
      readonly remove: NodeId | undefined;
    }
  | {
      readonly verb: 'release';
      readonly id: CallId;
      readonly service: ServiceName;
      readonly target: Release;
      readonly spanMs: number;
    }
  | {
      readonly verb: 'found';
      readonly id: CallId;
      readonly fleet: FleetId;
      readonly stores: readonly NodeId[];
      readonly voters: readonly NodeId[];
    }
  | { readonly verb: 'fleet' };

export type RegistryEvent =
  | WireEvent
  | {
      readonly kind: 'outside';
      readonly now: Timestamp;
      readonly ref: number;
      readonly call: Outside;
    }
  | { readonly kind: 'stop'; readonly now: Timestamp };

export type RegistryEffect =
  | WireEffect
  | {
      readonly kind: 'reply';
      readonly ref: number;
      readonly status: number;
      readonly body: string;
    };

export const reply = (ref: number, status: number, body: object): RegistryEffect => ({
  kind: 'reply',
  ref,
  status,
  body: JSON.stringify(body),
});
export const replyText = (ref: number, status: number, body: string): RegistryEffect => ({
  kind: 'reply',
  ref,
  status,
  body,
});
