/**
 * Expiry of members that have left the fleet, so that the memory of a store depends on the size of the fleet and
 * not on its uptime.
 */

import { type Timestamp, filterEntries } from '@switchwheel/types';
import type { StoreState } from './state.js';

/** Silence after which a member without a stored record is removed. */
const silentMemberExpiryMs = 60_000;

/** Removes silent registries, silent nodes without a record, and silent stores that the metadata does not name. */
export const expireSilentMembers = (state: StoreState, now: Timestamp): StoreState => {
  const isRecent = (member: { readonly heardAt: Timestamp }): boolean =>
    now - member.heardAt < silentMemberExpiryMs;
  const epoch = state.metadata?.epoch ?? 0;
  const namedStores = new Set(state.metadata?.stores.map((store) => store.node));
  const subscribers = filterEntries(state.subscribers, isRecent);
  const contacts = filterEntries(
    state.nodeContacts,
    (contact, node) => isRecent(contact) || state.control.nodes.has(node),
  );
  // Peers with a later epoch are kept as evidence against this store's candidacy.
  const peers = filterEntries(
    state.peers,
    (peer, node) => isRecent(peer) || namedStores.has(node) || (peer.metadata?.epoch ?? 0) > epoch,
  );
  const unchanged =
    subscribers === state.subscribers && contacts === state.nodeContacts && peers === state.peers;
  return unchanged ? state : { ...state, subscribers, nodeContacts: contacts, peers };
};
