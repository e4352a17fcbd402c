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
    const near = state.contacts.get(node);
    if (!row.online && near !== undefined && now - near.at > forgetNodeAfterMs) {
      next = prependEffects(
        next.effects,
        enqueue(
          { ...next.state, contacts: withoutEntry(next.state.contacts, node) },
          { kind: 'forget', node },
        ),
      );
      continue;
    }
    if (!row.online && near === undefined)
      next = transition(
        {
          ...next.state,
          contacts: withEntry(next.state.contacts, node, { registry: ownId(state), at: now }),
        },
        ...next.effects,
      );
    if (!row.online || (near !== undefined && now - near.at < nodeOfflineAfterMs)) continue;
    if (near === undefined) {
      next = transition(
        {
          ...next.state,
          contacts: withEntry(next.state.contacts, node, { registry: ownId(state), at: now }),
        },
        ...next.effects,
      );
      continue;
    }
    if (next.state.commandQueue.some((one) => one.kind === 'node' && one.node === node)) continue;
    next = prependEffects(
      next.effects,
      enqueue(next.state, {
        kind: 'node',
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
