/**
 * Connectivity of nodes, as reported by registries: silent nodes are recorded as offline and eventually deleted.
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

/** Time without contact to any registry after which a node is recorded as offline. */
const nodeOfflineAfterMs = 2000;

/** Time without contact after which the record of an offline node is deleted. */
const forgetNodeAfterMs = 3_600_000;

/** Checks one node; the timeout of a node without a recorded contact starts now. */
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

/** Records nodes without contact as offline, and deletes the records of long-offline nodes. */
export const markSilentNodesOffline = (state: StoreState, now: Timestamp): StoreTransition => {
  let next: StoreTransition = transition(state);
  for (const [node, record] of state.control.nodes)
    next = prependEffects(next.effects, checkNode(next.state, node, record, now));
  return next;
};
