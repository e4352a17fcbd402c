/**
 * Which configuration a node is to run, and when it is offered: desired is compared with reported
 * at every message, and an offer is repeated until the node reports that it runs it.
 */

import {
  type Generation,
  type Timestamp,
  addMs,
  noGeneration,
  withEntry,
  withoutEntry,
} from '@switchwheel/types';
import type { ConfigManifest } from '@switchwheel/transport';
import { provenHint } from './disk-hints.js';
import { servableFeedAgeMs } from './queries.js';
import type { KnownSession, RegistryState } from './state.js';

/** The pause before a configuration that a node could not apply is offered again; it doubles each time. */
const firstRetryDelayMs = 1000;
const maxRetryDelayMs = 15_000;
const maxRetryDoublings = 10;
const resendIntervalMs = 400;
/** How long a rollout may hold the newest configuration back from a live node, whatever its row names. */
const maxRolloutHoldMs = 800;

const offerFromHint = (
  state: RegistryState,
  session: KnownSession,
  now: Timestamp,
): ConfigManifest | undefined =>
  session.report.phase === 'none' ? provenHint(state, now)?.offer : undefined;

/** What a node is to run; undefined while the primary's feed is too old to go by, unless a disk hint is proven. */
const desiredOffer = (
  state: RegistryState,
  session: KnownSession,
  now: Timestamp,
): ConfigManifest | undefined => {
  if (servableFeedAgeMs(state, now) === undefined) return offerFromHint(state, session, now);
  const { current, currentSince, desired, offers } = state.feed;
  const row = desired.get(session.member.node);
  const isHeldBack = row !== undefined && now - currentSince < maxRolloutHoldMs;
  // A node that runs nothing yet gets the newest at once.
  const offer = isHeldBack && session.report.phase !== 'none' ? offers.get(row.hash) : current;
  return offer !== undefined && offer.generation >= session.report.generation ? offer : undefined;
};

/** The newest confirmed generation: a node that runs an older one may not refuse an unknown route. */
export const newestGeneration = (state: RegistryState): Generation =>
  state.feed.current?.generation ?? noGeneration;

const isRunning = ({ report }: KnownSession, offer: ConfigManifest): boolean =>
  report.phase === 'applied' &&
  report.generation === offer.generation &&
  report.hash === offer.hash;

const hasFailed = ({ report }: KnownSession, offer: ConfigManifest): boolean =>
  report.failed?.hash === offer.hash && report.failed.generation === offer.generation;

/** A state with the offer that goes to a node with the next message, if one is due. */
export interface Reconciled {
  readonly state: RegistryState;
  readonly offer: ConfigManifest | undefined;
}

/** Compares what a node is to run with what it reports, and notes the offer that is sent. */
export const reconcile = (
  state: RegistryState,
  session: KnownSession,
  now: Timestamp,
): Reconciled => {
  const { node } = session.member;
  const offer = desiredOffer(state, session, now);
  if (offer === undefined) return { state, offer: undefined };
  const sent = state.offersSent.get(node);
  if (isRunning(session, offer)) {
    const offersSent = withoutEntry(state.offersSent, node);
    return { state: sent === undefined ? state : { ...state, offersSent }, offer: undefined };
  }
  const failed = hasFailed(session, offer);
  const delayMs = failed
    ? Math.min(
        maxRetryDelayMs,
        firstRetryDelayMs * 2 ** Math.min(maxRetryDoublings, sent?.tries ?? 0),
      )
    : resendIntervalMs;
  const isRepeated = sent !== undefined && sent.hash === offer.hash;
  if (isRepeated && now < addMs(sent.at, delayMs)) return { state, offer: undefined };
  const tries = isRepeated && failed ? sent.tries + 1 : 0;
  const offersSent = withEntry(state.offersSent, node, { hash: offer.hash, at: now, tries });
  return { state: { ...state, offersSent }, offer };
};
