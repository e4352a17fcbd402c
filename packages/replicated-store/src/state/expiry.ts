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
  const isRecent = (member: { readonly heardAt: Timestamp }): boolean =>
    now - member.heardAt < silentMemberExpiryMs;
  const epoch = state.metadata?.epoch ?? 0;
  const named = new Set(state.metadata?.stores.map((store) => store.node));
  const subscribers = filterEntries(state.subscribers, isRecent);
  const contacts = filterEntries(
    state.nodeContacts,
    (contact, node) => isRecent(contact) || state.control.nodes.has(node),
  );
  // One that showed a later epoch is still evidence against this store's candidacy.
  const peers = filterEntries(
    state.peers,
    (peer, node) => isRecent(peer) || named.has(node) || (peer.metadata?.epoch ?? 0) > epoch,
  );
  const unchanged =
    subscribers === state.subscribers && contacts === state.nodeContacts && peers === state.peers;
  return unchanged ? state : { ...state, subscribers, nodeContacts: contacts, peers };
};
