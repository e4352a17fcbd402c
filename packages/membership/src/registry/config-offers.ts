/**
 * Configuration offers: compares the configuration desired of a node with the one that it reports, and
 * repeats the offer until the node reports that it runs it.
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

/** Delay before a configuration that a node could not apply is offered again; it doubles each time. */
const firstRetryDelayMs = 1000;
const maxRetryDelayMs = 15_000;
const maxRetryDoublings = 10;
const resendIntervalMs = 400;
/** Maximum time for which a rollout withholds the newest configuration from a node. */
const maxRolloutHoldMs = 800;

const offerFromHint = (
  state: RegistryState,
  session: KnownSession,
  now: Timestamp,
): ConfigManifest | undefined =>
  session.report.phase === 'none' ? provenHint(state, now)?.offer : undefined;

/**
 * Configuration that a node should run; undefined if there is none to offer. While the primary's feed
 * is too old, only a node without a configuration gets one, from a proven disk hint.
 */
const desiredOffer = (
  state: RegistryState,
  session: KnownSession,
  now: Timestamp,
): ConfigManifest | undefined => {
  if (servableFeedAgeMs(state, now) === undefined) return offerFromHint(state, session, now);
  const { current, currentSince, desired, offers } = state.feed;
  const row = desired.get(session.member.node);
  const isHeldBack = row !== undefined && now - currentSince < maxRolloutHoldMs;
  // A node without a configuration gets the newest one at once.
  const offer = isHeldBack && session.report.phase !== 'none' ? offers.get(row.hash) : current;
  return offer !== undefined && offer.generation >= session.report.generation ? offer : undefined;
};

/** Newest confirmed generation; a node that runs an older one must not reject requests for unknown routes. */
export const newestGeneration = (state: RegistryState): Generation =>
  state.feed.current?.generation ?? noGeneration;

const isRunning = ({ report }: KnownSession, offer: ConfigManifest): boolean =>
  report.phase === 'applied' &&
  report.generation === offer.generation &&
  report.hash === offer.hash;

const hasFailed = ({ report }: KnownSession, offer: ConfigManifest): boolean =>
  report.failed?.hash === offer.hash && report.failed.generation === offer.generation;

/** Result of a comparison: the new state, and the offer to send to the node if one is due. */
export interface Reconciliation {
  readonly state: RegistryState;
  readonly offer: ConfigManifest | undefined;
}

/** Compares the desired configuration of a node with the reported one, and records the offer if one is due. */
export const reconcile = (
  state: RegistryState,
  session: KnownSession,
  now: Timestamp,
): Reconciliation => {
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
        firstRetryDelayMs * 2 ** Math.min(maxRetryDoublings, sent?.failures ?? 0),
      )
    : resendIntervalMs;
  const isRepeated = sent !== undefined && sent.hash === offer.hash;
  if (isRepeated && now < addMs(sent.sentAt, delayMs)) return { state, offer: undefined };
  const failures = isRepeated && failed ? sent.failures + 1 : 0;
  const offersSent = withEntry(state.offersSent, node, { hash: offer.hash, sentAt: now, failures });
  return { state: { ...state, offersSent }, offer };
};
