import * as v from 'valibot';
import * as g from '@switchwheel/types';
import { purgeTarget } from '@switchwheel/transport';

/** What an origin says of itself. */
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

export const purgeRequest = v.strictObject({
  id: v.optional(g.commandId),
  aims: v.pipe(
    v.array(purgeTarget),
    v.minLength(1, 'at least one'),
    v.maxLength(10_000, 'at most 10000'),
  ),
});

export const bootstrapRequest = v.strictObject({
  id: v.optional(g.commandId),
  fleet: g.fleetId,
  stores: v.optional(v.array(g.nodeId), []),
  voters: v.optional(v.array(g.nodeId), []),
});

export const electorateRequest = v.strictObject({
  id: v.optional(g.commandId),
  add: v.optional(g.nodeId),
  remove: v.optional(g.nodeId),
});

/** An order to move a service to origins of a release. */
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
