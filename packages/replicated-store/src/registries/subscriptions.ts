/**
 * Subscriptions of registries at the primary: each brings what its nodes report and is answered by a feed.
 */

import { type Timestamp, equalAsJson, noSeq, transition, withEntry } from '@switchwheel/types';
import type { FrameOf } from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { enqueue } from '../commands/queue.js';
import { isPrimary } from '../leadership/candidacy.js';
import { feedSubscriber } from './feed.js';
import type { StoreEffect } from '../state/events.js';
import type { Subscriber } from '../state/peers.js';
import type { StoreState } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

export const onSubscribe = (
  state: StoreState,
  subscription: FrameOf<'subscribe'>,
  now: Timestamp,
): StoreTransition => {
  if (!isPrimary(state, now)) return transition(state);
  const row: Subscriber = {
    address: subscription.registry.address,
    zone: subscription.registry.area,
    voter: subscription.voter,
    heardAt: now,
    serial: subscription.epoch === heldEpoch(state.candidate) ? subscription.serial : noSeq,
    purged: subscription.purged,
  };
  let next: StoreState = {
    ...state,
    subscribers: withEntry(state.subscribers, subscription.registry.node, row),
  };
  const effects: StoreEffect[] = [...feedSubscriber(next, row, subscription.at, now)];
  let touch = next.nodeContacts;
  let fresh = false;
  for (const one of subscription.reports) {
    const known = state.control.nodes.get(one.node);
    const near = touch.get(one.node);
    if (!one.open && near !== undefined && near.registry !== subscription.registry.node) continue;
    if (one.open)
      touch = withEntry(touch, one.node, { registry: subscription.registry.node, heardAt: now });
    const same =
      known?.incarnation === one.incarnation &&
      known.online === one.open &&
      known.role === one.role &&
      equalAsJson(known.reported, one.report);
    if (same) continue;
    fresh ||= known === undefined;
    const waits = next.commandQueue.some(
      (command) =>
        command.kind === 'recordNode' &&
        command.node === one.node &&
        command.incarnation === one.incarnation &&
        equalAsJson(command.report, one.report) &&
        command.online === one.open,
    );
    if (waits) continue;
    const queued = enqueue(next, {
      kind: 'recordNode',
      node: one.node,
      role: one.role,
      incarnation: one.incarnation,
      online: one.open,
      report: one.report,
    });
    next = queued.state;
    effects.push(...queued.effects);
  }
  if (fresh) {
    const queued = enqueue(next, { kind: 'planRollout' });
    next = queued.state;
    effects.push(...queued.effects);
  }
  return transition({ ...next, nodeContacts: touch }, ...effects);
};
