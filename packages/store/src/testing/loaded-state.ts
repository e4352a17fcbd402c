/**
 * What a store has loaded from its disk, under names of its own: a fixture that was recorded with it stays valid
 * when a type or field of the code is renamed. For tests only.
 */

import {
  type NodeRecord,
  type ReleaseRollout,
  type Rollout,
  type RolloutTarget,
  buildConfiguration,
  runToCompletion,
} from '@switchwheel/configuration';
import { type StoreState, rangeDigests } from '@switchwheel/replicated-store';
import type {
  Health,
  ConfigManifest,
  OriginInstance,
  Purge,
  NodeStatus,
  CanaryResult,
} from '@switchwheel/transport';
import type { Generation, Hash } from '@switchwheel/types';

const asObject = <K extends string | number, V, P>(
  rows: ReadonlyMap<K, V>,
  project: (row: V) => P,
): Readonly<Record<string, P>> =>
  Object.fromEntries([...rows].map(([key, row]) => [String(key), project(row)]));

const offerFacts = (one: ConfigManifest): object => ({
  generation: one.generation,
  contentHash: one.hash,
  chunkHashes: one.pieces,
});

const placeFacts = (
  one: { readonly generation: Generation; readonly hash: Hash } | undefined,
): object | null =>
  one === undefined ? null : { generation: one.generation, contentHash: one.hash };

const healthFacts = (one: Health): object => ({
  component: one.name,
  isHealthy: one.healthy,
  explanation: one.text,
  components: one.parts.map(healthFacts),
});

const reportFacts = (one: NodeStatus): object => ({
  generation: one.generation,
  contentHash: one.hash ?? null,
  applyPhase: one.phase,
  failure:
    one.failed === undefined ? null : { ...placeFacts(one.failed), explanation: one.failed.text },
  health: healthFacts(one.health),
  isReady: one.ready,
});

const nodeFacts = (one: NodeRecord): object => ({
  nodeRole: one.role,
  processIncarnation: one.incarnation,
  isOnline: one.online,
  lastReport: reportFacts(one.reported),
  assignedContent: placeFacts(one.assigned),
  desiredContent: placeFacts(one.desired),
  failedContentHash: one.failed ?? null,
});

const rolloutFacts = (one: Rollout): object => ({
  generation: one.generation,
  contentHash: one.hash,
  rolloutStatus: one.status,
  currentWave: one.wave,
  waveCount: one.waves,
  waveShares: one.policy.waves,
  waveGateMs: one.policy.gateMs,
  failureThreshold: one.policy.threshold,
  verificationMs: one.policy.verifyMs,
  hadFailures: one.troubled,
  revision: one.rev,
});

const rolloutTargetFacts = (one: RolloutTarget): object => ({
  targetNode: one.node,
  generation: one.generation,
  inWave: one.wave,
  targetStatus: one.status,
  explanation: one.text,
  revision: one.rev,
});

const purgeFacts = (one: Purge): object => ({
  purgeNumber: one.seq,
  purged: one.aims.map((target) => {
    switch (target.by) {
      case 'object':
        return `object ${target.host ?? '(any host)'} ${target.path}`;
      case 'tag':
        return `tag ${target.tag}`;
      case 'all':
        return 'everything';
    }
  }),
});

const canaryFacts = (one: CanaryResult): object => ({
  ofService: one.service,
  ofRelease: one.release,
  result: one.state,
  requestsSpent: one.spent,
  badResponses: one.bad,
  goodResponses: one.good,
  serviceRequests: one.seen,
});

const releaseOrderFacts = (one: ReleaseRollout): object => ({
  ofService: one.service,
  settledRelease: one.settled ?? null,
  priorRelease: one.prior ?? null,
  targetRelease: one.target ?? null,
  orderPhase: one.phase,
  loadProbe: one.probe,
  trafficShare: one.share,
  trafficShareByClass: one.shares.map(({ group, share }) => [group, share]),
  termMs: one.spanMs,
  elapsedMs: one.spentMs,
  movedAtMs: one.movedMs,
  probedAtMs: one.probedMs,
  orderNumber: one.order,
  stateNumber: one.serial,
  requestsInAll: one.total,
  requestsToTarget: one.spent,
  explanation: one.text,
  earlierOrders: one.earlier.map((earlier) => [
    earlier.target,
    earlier.spanMs,
    earlier.order,
    earlier.ageMs,
  ]),
});

const originFacts = (one: OriginInstance): object => ({
  ofService: one.service,
  instanceId: one.instance,
  listensAt: one.address,
  ofRelease: one.release,
  slotCount: one.slots,
  lifecycle: one.state,
  inZone: one.area ?? null,
  silentForMs: one.age,
});

const metadataFacts = (state: StoreState): object | null => {
  const { metadata } = state;
  if (metadata === undefined) return null;
  return {
    fleetId: metadata.fleet,
    epochNumber: metadata.epoch,
    inSyncNodes: metadata.inSyncSet,
    storeNodes: metadata.stores.map(({ node, address }) => [node, address]),
    electorateNumber: metadata.electorate.serial,
    electorateNodes: metadata.electorate.members.map(({ node, address }) => [node, address]),
  };
};

/** What the configuration in force compiles to, or its faults. */
const compiledFacts = (state: StoreState): object | null => {
  const offer = state.control.configuration?.offer;
  if (offer === undefined) return null;
  const texts = offer.pieces.map((hash) => state.control.chunks.get(hash) ?? '');
  const compiled = runToCompletion(buildConfiguration(texts, offer.generation, offer.hash));
  if (compiled.isErr) return { faults: compiled.error };
  const table = compiled.value;
  return {
    generation: table.generation,
    contentHash: table.hash,
    explanation: table.header.note ?? null,
    serviceNames: [...table.services.keys()],
    classNames: [...table.classes.keys()],
    routes: [...table.routesByName.values()].map((route) => ({
      routeName: route.name,
      toServices: route.weightedServices.map(({ service, weight }) => [service, weight]),
      ofClass: route.className,
      httpMethods: [...route.methods],
      isRepeatable: route.isIdempotent,
      responseTimeoutMs: route.timeoutMs,
      cacheLifetimeMs: route.cache?.lifetimeMs ?? null,
    })),
  };
};

/** All that a store knows after it has read its disk, as plain JSON. */
export const loadedFacts = (state: StoreState): object => {
  const { control } = state;
  return {
    clusterMetadata: metadataFacts(state),
    lastWrite: { epochNumber: state.logPosition.epoch, writeNumber: state.logPosition.seq },
    entryCount: state.table.size,
    rangeDigests: rangeDigests(state.table),
    inForce:
      control.configuration === undefined
        ? null
        : { ...offerFacts(control.configuration.offer), byCommand: control.configuration.call },
    compiledConfiguration: compiledFacts(state),
    nodes: asObject(control.nodes, nodeFacts),
    rollouts: asObject(control.rollouts, rolloutFacts),
    rolloutTargets: asObject(control.targets, rolloutTargetFacts),
    purges: control.purges.map(purgeFacts),
    canaries: asObject(control.canaryResults, canaryFacts),
    releaseOrders: asObject(control.releases, releaseOrderFacts),
    origins: asObject(control.origins, originFacts),
    commandResults: asObject(control.commandOutcomes, (one) => [one.status, one.body, one.seq]),
    contentHashByGeneration: asObject(control.hashByGeneration, (hash) => hash),
    chunks: asObject(control.chunks, (text) => text),
  };
};
