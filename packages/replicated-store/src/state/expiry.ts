/**
 * Keeps a store's memory bounded: members that are gone are forgotten, so that what is kept depends
 * on the fleet as it is and not on how long it has run.
 */

import { type Timestamp, filterEntries } from '@switchwheel/types';
import type { StoreState } from './state.js';

/** How long a member of which nothing else is kept may be silent. */
const silentMemberExpiryMs = 60_000;

/** Forgets silent registries, nodes without a record, and stores that the metadata does not name. */
export const expireSilentMembers = (state: StoreState, now: Timestamp): StoreState => {
  const isRecent = (one: { readonly heardAt: Timestamp }): boolean =>
    now - one.heardAt < silentMemberExpiryMs;
  const epoch = state.metadata?.epoch ?? 0;
  const named = new Set(state.metadata?.stores.map((one) => one.node));
  const subscribers = filterEntries(state.subscribers, isRecent);
  const contacts = filterEntries(
    state.nodeContacts,
    (one, node) => isRecent(one) || state.control.nodes.has(node),
  );
  // One that told of a later epoch still speaks against this store's candidacy.
  const peers = filterEntries(
    state.peers,
    (one, node) => isRecent(one) || named.has(node) || (one.metadata?.epoch ?? 0) > epoch,
  );
  const unchanged =
    subscribers === state.subscribers && contacts === state.nodeContacts && peers === state.peers;
  return unchanged ? state : { ...state, subscribers, nodeContacts: contacts, peers };
};
