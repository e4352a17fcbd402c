/** Builds the state of an edge that is ready to serve: a compiled configuration, live origins and current members. */

import {
  type ServiceName,
  type Timestamp,
  toAddress,
  toGeneration,
  toIncarnation,
  toInstanceId,
  toNodeId,
  toRelease,
  toZoneName,
} from '@switchwheel/types';
import type { Member } from '@switchwheel/transport';
import {
  type CompiledConfiguration,
  buildConfiguration,
  runToCompletion,
  splitIntoChunks,
} from '@switchwheel/configuration';
import { type NodeAgent, newNodeAgent } from '@switchwheel/proxy-core';

/** A live origin instance. */
export interface OriginFixture {
  readonly instance: string;
  readonly address: string;
  /** Defaults to `r1`. */
  readonly release?: string;
}

/** Options for the state of an edge. */
export interface EdgeAgentOptions {
  readonly configuration: CompiledConfiguration;
  readonly service: ServiceName;
  readonly origins: readonly OriginFixture[];
  /** Number of requests that each origin can run concurrently. */
  readonly slots: number;
  readonly now: Timestamp;
  readonly member?: Member;
  /** All members that the edge sees; defaults to the edge itself. */
  readonly members?: readonly Member[];
}

/** Edge `e1` in zone `a`. */
export const edgeMember: Member = {
  node: toNodeId('e1'),
  role: 'edge',
  area: toZoneName('a'),
  address: toAddress('10.0.0.1:1'),
  incarnation: toIncarnation(1),
};

/** Compiles a configuration document; throws if it is invalid. */
export const compileDocument = (document: object, generation = 1): CompiledConfiguration => {
  const bundle = runToCompletion(splitIntoChunks(document));
  if (bundle.isErr) throw new Error('configuration document could not be split into chunks');
  const { hash, chunkHashes, chunks } = bundle.value;
  const texts = chunkHashes.map((chunkHash) => chunks.get(chunkHash) ?? '');
  const built = runToCompletion(buildConfiguration(texts, toGeneration(generation), hash));
  if (built.isErr)
    throw new Error('configuration document is invalid: building the configuration failed');
  return built.value;
};

/** Returns a node agent with a configuration and origins that has no confirmation that the configuration is current. */
export const newEdgeAgent = (options: EdgeAgentOptions): NodeAgent => {
  const { configuration, service, slots, now, member = edgeMember } = options;
  const agent = newNodeAgent(member, [], { seed: 3 });
  const origins = new Map(
    options.origins.map((origin) => {
      const instance = toInstanceId(origin.instance);
      const row = {
        service,
        instance,
        address: toAddress(origin.address),
        release: toRelease(origin.release ?? 'r1'),
        slots,
        state: 'up' as const,
        lastHeardAt: now,
      };
      return [instance, row] as const;
    }),
  );
  return {
    ...agent,
    compiledConfiguration: configuration,
    purgesCurrentAsOf: now,
    nodeSession: {
      ...agent.nodeSession,
      registryHeardAt: now,
      origins,
      members: options.members ?? [member],
    },
  };
};

/** Returns a node agent whose configuration is confirmed as the newest generation. */
export const newConfirmedEdgeAgent = (options: EdgeAgentOptions): NodeAgent => ({
  ...newEdgeAgent(options),
  configFreshness: {
    newestGeneration: options.configuration.generation,
    confirmedAsOf: options.now,
    pendingGenerations: [],
  },
});
