/**
 * Hints: what a store has on its disk, sent to the registries while no primary is heard of.
 */

import type { Timestamp } from '@switchwheel/types';
import { type FrameOf, send } from '@switchwheel/transport';
import { knownRegistries } from '@switchwheel/membership';
import { isPrimary, primaryTimeoutMs } from '../leadership/candidacy.js';
import { storedOrigins } from '../origins/origin-records.js';
import type { StoreEffect } from '../state/events.js';
import type { StoreState } from '../state/state.js';

/**
 * While no primary is heard of, the registries are told what this disk holds: nodes that run
 * nothing need not wait for an election. Each registry is told, as each needs the word of every
 * store in sync; the store's own gets the origins too.
 */
export const sendHint = (state: StoreState, now: Timestamp): readonly StoreEffect[] => {
  const offer = state.control.configuration?.offer;
  const { metadata, session } = state;
  if (
    metadata === undefined ||
    session.registryLink === undefined ||
    isPrimary(state, now) ||
    now - state.primaryHeardAt < primaryTimeoutMs
  )
    return [];
  const { node, address, incarnation } = session.member;
  const own = session.registryLink.address;
  const hint: FrameOf<'hint'> = {
    kind: 'hint',
    node,
    address,
    incarnation,
    at: now,
    metadata,
    ...(offer === undefined ? {} : { offer }),
    origins: [],
  };
  return [
    send(own, { ...hint, origins: storedOrigins(state) }),
    ...knownRegistries(session)
      .filter((one) => one !== own)
      .map((one) => send(one, hint)),
  ];
};
