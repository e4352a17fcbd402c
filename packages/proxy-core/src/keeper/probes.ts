import { type Timestamp, withEntry } from '@switchwheel/types';
import { affords, tokensAfter } from './ceiling.js';
import type { Keeper, KeeperEffect } from './state.js';

/** The most of a ceiling that health checks may take, as they count among what a service is sent. */
const probeShare = 0.25;

/** How often each origin is checked: less often where the ceiling leaves little room. */
const everyOf = (state: Keeper): number => {
  const rate = state.rules.perSecond;
  const { everyMs } = state.rules.probe;
  return rate === undefined
    ? everyMs
    : Math.max(everyMs, (state.bays.size / (rate * probeShare)) * 1000);
};

/** Sends the health checks that are due. */
export const passProbes = (
  before: Keeper,
  now: Timestamp,
): { readonly state: Keeper; readonly effects: readonly KeeperEffect[] } => {
  const every = everyOf(before);
  const effects: KeeperEffect[] = [];
  let state = before;
  for (const bay of before.bays.values()) {
    if (!bay.up || !affords(state) || now - (bay.probed ?? -Infinity) < every) continue;
    effects.push({
      kind: 'probe',
      service: state.service,
      instance: bay.instance,
      address: bay.address,
      path: state.rules.probe.path,
    });
    state = {
      ...state,
      tokens: tokensAfter(state),
      bays: withEntry(state.bays, bay.instance, { ...bay, probed: now }),
    };
  }
  return { state, effects };
};
