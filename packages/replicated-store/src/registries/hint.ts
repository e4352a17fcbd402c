/**
 * Hints to registries: the stored configuration and origins of a store, sent while no primary is known.
 */

import type { Timestamp } from '@switchwheel/types';
import { type FrameOf, send } from '@switchwheel/transport';
import { knownRegistries } from '@switchwheel/membership';
import { isPrimary, primaryTimeoutMs } from '../leadership/candidacy.js';
import { storedOrigins } from '../origins/origin-records.js';
import type { StoreEffect } from '../state/events.js';
import type { StoreState } from '../state/state.js';

/**
 * Sends the cluster metadata and the manifest on this disk to all registries while no primary is known, so that nodes
 * without a configuration need not wait for an election. A registry needs hints from every in-sync store. Only the
 * store's own registry also receives the origins.
 */
export const sendHint = (state: StoreState, now: Timestamp): readonly StoreEffect[] => {
  const manifest = state.control.configuration?.offer;
  const { metadata, session } = state;
  if (
    metadata === undefined ||
    session.registryLink === undefined ||
    isPrimary(state, now) ||
    now - state.primaryHeardAt < primaryTimeoutMs
  )
    return [];
  const { node, address, incarnation } = session.member;
  const ownRegistry = session.registryLink.address;
  const hint: FrameOf<'hint'> = {
    kind: 'hint',
    node,
    address,
    incarnation,
    at: now,
    metadata,
    ...(manifest === undefined ? {} : { offer: manifest }),
    origins: [],
  };
  return [
    send(ownRegistry, { ...hint, origins: storedOrigins(state) }),
    ...knownRegistries(session)
      .filter((registry) => registry !== ownRegistry)
      .map((registry) => send(registry, hint)),
  ];
};
