/** Schemas of request bodies of the registry's HTTP interface. The names of their members are a public interface. */

import * as v from 'valibot';
import * as g from '@switchwheel/types';
import { purgeTarget } from '@switchwheel/transport';

/** Registration of an origin instance; the origin renews it periodically. */
export const originAnnouncement = v.strictObject({
  service: g.serviceName,
  instance: g.instanceId,
  address: g.address,
  release: v.optional(g.release, g.toRelease('unnamed')),
  slots: v.pipe(
    v.number('a number'),
    v.integer('a whole number'),
    v.minValue(1, 'at least 1'),
    v.maxValue(10_000, 'at most 10000'),
  ),
  state: v.optional(v.picklist(['up', 'leaving', 'gone'], 'up, leaving or gone'), 'up'),
});

/** Command to purge cached objects. */
export const purgeRequest = v.strictObject({
  id: v.optional(g.commandId),
  aims: v.pipe(
    v.array(purgeTarget),
    v.minLength(1, 'at least one'),
    v.maxLength(10_000, 'at most 10000'),
  ),
});

/** Command to bootstrap a cluster; on all live stores and registries if none are named. */
export const bootstrapRequest = v.strictObject({
  id: v.optional(g.commandId),
  fleet: g.fleetId,
  stores: v.optional(v.array(g.nodeId), []),
  voters: v.optional(v.array(g.nodeId), []),
});

/** Command to add or remove one voter. */
export const electorateRequest = v.strictObject({
  id: v.optional(g.commandId),
  add: v.optional(g.nodeId),
  remove: v.optional(g.nodeId),
});

/** Command to roll a service out to a release; `spanMs` is the maximum duration of the rollout. */
export const rolloutRequest = v.strictObject({
  id: v.optional(g.commandId),
  service: g.serviceName,
  target: g.release,
  spanMs: v.pipe(
    v.number('a number'),
    v.minValue(1000, 'at least 1000'),
    v.maxValue(86_400_000, 'at most a day'),
  ),
});
