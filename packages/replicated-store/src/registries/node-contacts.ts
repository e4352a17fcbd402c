/**
 * Which nodes are in touch by way of any registry: silent ones are recorded as offline, and forgotten in the end.
 */

import {
  type Timestamp,
  prependEffects,
  transition,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import { enqueue } from '../commands/queue.js';
import { type StoreState, ownId } from '../state/state.js';
import type { StoreTransition } from '../state/transition.js';

const nodeOfflineAfterMs = 2000;

/** How long a node may be out of touch before it is forgotten. */
const forgetNodeAfterMs = 3_600_000;

/** Nodes that no registry has told of for a while are out of touch. */
export const markSilentNodesOffline = (state: StoreState, now: Timestamp): StoreTransition => {
  let next: StoreTransition = transition(state);
  for (const [node, row] of state.control.nodes) {
    const near = state.nodeContacts.get(node);
    if (!row.online && near !== undefined && now - near.heardAt > forgetNodeAfterMs) {
      next = prependEffects(
        next.effects,
        enqueue(
          { ...next.state, nodeContacts: withoutEntry(next.state.nodeContacts, node) },
          { kind: 'forgetNode', node },
        ),
      );
      continue;
    }
    if (!row.online && near === undefined)
      next = transition(
        {
          ...next.state,
          nodeContacts: withEntry(next.state.nodeContacts, node, {
            registry: ownId(state),
            heardAt: now,
          }),
        },
        ...next.effects,
      );
    if (!row.online || (near !== undefined && now - near.heardAt < nodeOfflineAfterMs)) continue;
    if (near === undefined) {
      next = transition(
        {
          ...next.state,
          nodeContacts: withEntry(next.state.nodeContacts, node, {
            registry: ownId(state),
            heardAt: now,
          }),
        },
        ...next.effects,
      );
      continue;
    }
    if (next.state.commandQueue.some((one) => one.kind === 'recordNode' && one.node === node))
      continue;
    next = prependEffects(
      next.effects,
      enqueue(next.state, {
        kind: 'recordNode',
        node,
        role: row.role,
        incarnation: row.incarnation,
        online: false,
        report: row.reported,
      }),
    );
  }
  return next;
};
