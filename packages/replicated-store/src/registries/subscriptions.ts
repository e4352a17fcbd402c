/**
 * Subscriptions of registries at the primary: each carries the reports of connected nodes and is answered with a feed.
 */

import {
  type Timestamp,
  equalAsJson,
  noSeq,
  prependEffects,
  transition,
  withEntry,
} from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { enqueue } from '../commands/queue.js';
import { isPrimary } from '../leadership/candidacy.js';
import { feedSubscriber } from './feed.js';
import type { Subscriber } from '../state/peers.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

type Subscription = FrameOf<'subscribe'>;

type NodeReport = Subscription['reports'][number];

const subscriberOf = (
  state: StoreState,
  subscription: Subscription,
  now: Timestamp,
): Subscriber => {
  const isSameEpoch = subscription.epoch === heldEpoch(state.candidate);
  const { departuresSerial } = subscription;
  return {
    address: subscription.registry.address,
    zone: subscription.registry.area,
    voterStatus: subscription.voter,
    heardAt: now,
    serial: isSameEpoch ? subscription.serial : noSeq,
    latestPurge: subscription.purged,
    departuresSerial: departuresSerial === undefined || isSameEpoch ? departuresSerial : noSeq,
  };
};

/** Whether a report equals the record of its node. */
const isRecorded = (state: StoreState, report: NodeReport): boolean => {
  const recorded = state.control.nodes.get(report.node);
  return (
    recorded?.incarnation === report.incarnation &&
    recorded.online === report.open &&
    recorded.role === report.role &&
    equalAsJson(recorded.reported, report.report)
  );
};

const isQueued = (state: StoreState, report: NodeReport): boolean =>
  state.commandQueue.some(
    (command) =>
      command.kind === 'recordNode' &&
      command.node === report.node &&
      command.incarnation === report.incarnation &&
      equalAsJson(command.report, report.report) &&
      command.online === report.open,
  );

/** Whether a report of a lost connection is obsolete, as the node was last seen by another registry. */
const isSuperseded = (
  state: StoreState,
  registry: Subscription['registry'],
  { node, open }: NodeReport,
): boolean => {
  const contact = state.nodeContacts.get(node);
  return !open && contact !== undefined && contact.registry !== registry.node;
};

/** Records the registry that a node is connected to, and queues a change of the node's record. */
const onNodeReport = (
  state: StoreState,
  registry: Subscription['registry'],
  report: NodeReport,
  now: Timestamp,
): StoreTransition => {
  const { node, role, incarnation, open } = report;
  if (isSuperseded(state, registry, report)) return transition(state);
  const next: StoreState = open
    ? {
        ...state,
        nodeContacts: withEntry(state.nodeContacts, node, {
          registry: registry.node,
          heardAt: now,
        }),
      }
    : state;
  if (isRecorded(next, report) || isQueued(next, report)) return transition(next);
  return enqueue(next, {
    kind: 'recordNode',
    node,
    role,
    incarnation,
    online: open,
    report: report.report,
  });
};

/** Whether a subscription reports a node without a record, which requires a new rollout plan. */
const bringsNewNode = (state: StoreState, subscription: Subscription): boolean =>
  subscription.reports.some(
    (report) =>
      !state.control.nodes.has(report.node) && !isSuperseded(state, subscription.registry, report),
  );

/** Handles a new or renewed subscription: sends a feed and processes the node reports. */
export const onSubscribe = (
  state: StoreState,
  subscription: Subscription,
  now: Timestamp,
): StoreTransition => {
  if (!isPrimary(state, now)) return transition(state);
  const { registry } = subscription;
  const subscriber = subscriberOf(state, subscription, now);
  const subscribed: StoreState = {
    ...state,
    subscribers: withEntry(state.subscribers, registry.node, subscriber),
  };
  let next: StoreTransition = transition(
    subscribed,
    ...feedSubscriber(subscribed, subscriber, subscription.at, now),
  );
  for (const report of subscription.reports)
    next = prependEffects(next.effects, onNodeReport(next.state, registry, report, now));
  return bringsNewNode(state, subscription)
    ? prependEffects(next.effects, enqueue(next.state, { kind: 'planRollout' }))
    : next;
};
