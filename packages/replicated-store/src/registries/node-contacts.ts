/**
 * Which nodes are in touch by way of any registry: silent ones are recorded as offline, and forgotten in the end.
 */

import {
  type NodeId,
  type Timestamp,
  prependEffects,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import type { NodeRecord } from '@switchwheel/configuration';
import { enqueue } from '../commands/queue.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

/** How long a node may be out of touch with all registries before it is recorded as offline. */
const nodeOfflineAfterMs = 2000;

/** How long a node may be offline before it is forgotten. */
const forgetNodeAfterMs = 3_600_000;

/** Checks one node; a node of which nothing was heard yet gets the whole time from now on. */
const checkNode = (
  state: StoreState,
  node: NodeId,
  record: NodeRecord,
  now: Timestamp,
): StoreTransition => {
  const contact = state.nodeContacts.get(node);
  if (contact === undefined)
    return transition({
      ...state,
      nodeContacts: withEntry(state.nodeContacts, node, { registry: ownId(state), heardAt: now }),
    });
  const silentMs = now - contact.heardAt;
  if (!record.online)
    return silentMs > forgetNodeAfterMs
      ? enqueue(
          { ...state, nodeContacts: withoutEntry(state.nodeContacts, node) },
          { kind: 'forgetNode', node },
        )
      : transition(state);
  if (silentMs < nodeOfflineAfterMs) return transition(state);
  const isQueued = state.commandQueue.some(
    (command) => command.kind === 'recordNode' && command.node === node,
  );
  if (isQueued) return transition(state);
  const { role, incarnation, reported } = record;
  return enqueue(state, {
    kind: 'recordNode',
    node,
    role,
    incarnation,
    online: false,
    report: reported,
  });
};

/** Records nodes as offline that no registry has reported for a while, and forgets them in the end. */
export const markSilentNodesOffline = (state: StoreState, now: Timestamp): StoreTransition => {
  let next: StoreTransition = transition(state);
  for (const [node, record] of state.control.nodes)
    next = prependEffects(next.effects, checkNode(next.state, node, record, now));
  return next;
};
