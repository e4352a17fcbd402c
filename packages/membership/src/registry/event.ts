/**
 * Events and effects of the registry's state machine, and the requests of operators and origins.
 */

import type {
  CommandId,
  FleetId,
  Generation,
  Hash,
  Timestamp,
  NodeId,
  Release,
  ServiceName,
} from '@switchwheel/types';
import type {
  PurgeTarget,
  OriginInstance,
  ProcessEffect,
  ProcessEvent,
} from '@switchwheel/transport';

/** A request of an operator or an origin, already parsed. */
export type ExternalRequest =
  | { readonly verb: 'announce'; readonly origin: Omit<OriginInstance, 'age'> }
  | {
      readonly verb: 'apply';
      readonly id: CommandId;
      readonly baseGeneration: Generation | undefined;
      readonly requestedGeneration?: Generation | undefined;
      readonly hash: Hash;
      readonly chunkHashes: readonly Hash[];
      readonly chunks: ReadonlyMap<Hash, string>;
    }
  | { readonly verb: 'purge'; readonly id: CommandId; readonly targets: readonly PurgeTarget[] }
  | { readonly verb: 'outcome'; readonly id: CommandId; readonly commandId: CommandId }
  | { readonly verb: 'view'; readonly id: CommandId; readonly viewName: string }
  | {
      readonly verb: 'electorate';
      readonly id: CommandId;
      readonly add: NodeId | undefined;
      readonly remove: NodeId | undefined;
    }
  | {
      readonly verb: 'release';
      readonly id: CommandId;
      readonly service: ServiceName;
      readonly target: Release;
      readonly spanMs: number;
    }
  | {
      readonly verb: 'bootstrap';
      readonly id: CommandId;
      readonly fleet: FleetId;
      readonly stores: readonly NodeId[];
      readonly voters: readonly NodeId[];
    }
  | { readonly verb: 'fleet' };

/** An event that a registry handles. */
export type RegistryEvent =
  | ProcessEvent
  | {
      readonly kind: 'requestReceived';
      readonly now: Timestamp;
      readonly correlationId: number;
      readonly request: ExternalRequest;
    }
  | { readonly kind: 'stopRequested'; readonly now: Timestamp };

/** An effect of a registry: one of any process, or the reply to a request. */
export type RegistryEffect =
  | ProcessEffect
  | {
      readonly kind: 'reply';
      readonly correlationId: number;
      readonly status: number;
      readonly body: string;
    };

/** Builds a reply whose body is a JSON object. */
export const reply = (correlationId: number, status: number, body: object): RegistryEffect => ({
  kind: 'reply',
  correlationId,
  status,
  body: JSON.stringify(body),
});
/** Builds a reply whose body is already encoded as JSON. */
export const replyText = (correlationId: number, status: number, body: string): RegistryEffect => ({
  kind: 'reply',
  correlationId,
  status,
  body,
});
