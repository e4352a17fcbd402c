/** Builds the state in which an edge serves: a compiled configuration, live origins, and fresh news of both. */

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

/** An origin instance that is live. */
export interface OriginFixture {
  readonly instance: string;
  readonly address: string;
  /** `r1` unless it is given. */
  readonly release?: string;
}

/** What an edge's state is built of. */
export interface EdgeAgentOptions {
  readonly configuration: CompiledConfiguration;
  readonly service: ServiceName;
  readonly origins: readonly OriginFixture[];
  /** How many requests each origin can run at once. */
  readonly slots: number;
  readonly now: Timestamp;
  readonly member?: Member;
  /** All members that the edge sees; itself only unless they are given. */
  readonly members?: readonly Member[];
}

/** The edge `e1` of the zone `a`. */
export const edgeMember: Member = {
  node: toNodeId('e1'),
  role: 'edge',
  area: toZoneName('a'),
  address: toAddress('10.0.0.1:1'),
  incarnation: toIncarnation(1),
};

/** Compiles a document; throws if it is not valid. */
export const compileDocument = (document: object, generation = 1): CompiledConfiguration => {
  const bundle = runToCompletion(splitIntoChunks(document));
  if (bundle.isErr) throw new Error('the document is not valid');
  const { hash, chunkHashes, chunks } = bundle.value;
  const texts = chunkHashes.map((chunkHash) => chunks.get(chunkHash) ?? '');
  const built = runToCompletion(buildConfiguration(texts, toGeneration(generation), hash));
  if (built.isErr) throw new Error('the configuration could not be built');
  return built.value;
};

/** A node agent that has its configuration and origins, but does not know whether the configuration is the newest. */
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

/** A node agent that knows its configuration to be the newest. */
export const newConfirmedEdgeAgent = (options: EdgeAgentOptions): NodeAgent => ({
  ...newEdgeAgent(options),
  configFreshness: {
    newestGeneration: options.configuration.generation,
    confirmedAsOf: options.now,
    pendingGenerations: [],
  },
});
