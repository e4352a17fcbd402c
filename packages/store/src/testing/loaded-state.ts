/** State loaded by a store as JSON with fixed key names, so that renames keep recorded fixtures valid. For tests only. */

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

const manifestFacts = (manifest: ConfigManifest): object => ({
  generation: manifest.generation,
  contentHash: manifest.hash,
  chunkHashes: manifest.pieces,
});

const versionFacts = (
  version: { readonly generation: Generation; readonly hash: Hash } | undefined,
): object | null =>
  version === undefined ? null : { generation: version.generation, contentHash: version.hash };

const healthFacts = (health: Health): object => ({
  component: health.name,
  isHealthy: health.healthy,
  explanation: health.text,
  components: health.parts.map(healthFacts),
});

const statusFacts = (status: NodeStatus): object => ({
  generation: status.generation,
  contentHash: status.hash ?? null,
  applyPhase: status.phase,
  failure:
    status.failed === undefined
      ? null
      : { ...versionFacts(status.failed), explanation: status.failed.text },
  health: healthFacts(status.health),
  isReady: status.ready,
});

const nodeFacts = (node: NodeRecord): object => ({
  nodeRole: node.role,
  processIncarnation: node.incarnation,
  isOnline: node.online,
  lastReport: statusFacts(node.reported),
  assignedContent: versionFacts(node.assigned),
  desiredContent: versionFacts(node.desired),
  failedContentHash: node.failed ?? null,
});

const rolloutFacts = (rollout: Rollout): object => ({
  generation: rollout.generation,
  contentHash: rollout.hash,
  rolloutStatus: rollout.status,
  currentWave: rollout.wave,
  waveCount: rollout.waves,
  waveShares: rollout.policy.waves,
  waveGateMs: rollout.policy.gateMs,
  failureThreshold: rollout.policy.threshold,
  verificationMs: rollout.policy.verifyMs,
  hadFailures: rollout.troubled,
  revision: rollout.rev,
});

const rolloutTargetFacts = (target: RolloutTarget): object => ({
  targetNode: target.node,
  generation: target.generation,
  inWave: target.wave,
  targetStatus: target.status,
  explanation: target.text,
  revision: target.rev,
});

const purgeFacts = (purge: Purge): object => ({
  purgeNumber: purge.seq,
  purged: purge.aims.map((target) => {
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

const canaryFacts = (canary: CanaryResult): object => ({
  ofService: canary.service,
  ofRelease: canary.release,
  result: canary.state,
  requestsSpent: canary.spent,
  badResponses: canary.bad,
  goodResponses: canary.good,
  serviceRequests: canary.seen,
});

const releaseRolloutFacts = (rollout: ReleaseRollout): object => ({
  ofService: rollout.service,
  settledRelease: rollout.settled ?? null,
  priorRelease: rollout.prior ?? null,
  targetRelease: rollout.target ?? null,
  orderPhase: rollout.phase,
  loadProbe: rollout.probe,
  trafficShare: rollout.share,
  trafficShareByClass: rollout.shares.map(({ group, share }) => [group, share]),
  termMs: rollout.spanMs,
  elapsedMs: rollout.spentMs,
  movedAtMs: rollout.movedMs,
  probedAtMs: rollout.probedMs,
  orderNumber: rollout.order,
  stateNumber: rollout.serial,
  requestsInAll: rollout.total,
  requestsToTarget: rollout.spent,
  explanation: rollout.text,
  earlierOrders: rollout.earlier.map((earlier) => [
    earlier.target,
    earlier.spanMs,
    earlier.order,
    earlier.ageMs,
  ]),
});

const originFacts = (origin: OriginInstance): object => ({
  ofService: origin.service,
  instanceId: origin.instance,
  listensAt: origin.address,
  ofRelease: origin.release,
  slotCount: origin.slots,
  lifecycle: origin.state,
  inZone: origin.area ?? null,
  silentForMs: origin.age,
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

/** Summary of the compiled configuration in force, or its issues. */
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

/** State of a store after it has read its disk, as plain JSON. */
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
        : { ...manifestFacts(control.configuration.offer), byCommand: control.configuration.call },
    compiledConfiguration: compiledFacts(state),
    nodes: asObject(control.nodes, nodeFacts),
    rollouts: asObject(control.rollouts, rolloutFacts),
    rolloutTargets: asObject(control.targets, rolloutTargetFacts),
    purges: control.purges.map(purgeFacts),
    canaries: asObject(control.canaryResults, canaryFacts),
    releaseOrders: asObject(control.releases, releaseRolloutFacts),
    origins: asObject(control.origins, originFacts),
    commandResults: asObject(control.commandOutcomes, (outcome) => [
      outcome.status,
      outcome.body,
      outcome.seq,
    ]),
    contentHashByGeneration: asObject(control.hashByGeneration, (hash) => hash),
    chunks: asObject(control.chunks, (text) => text),
  };
};
