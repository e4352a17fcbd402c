import {
  type Timestamp,
  type Transition,
  equalAsJson,
  withoutEntry,
  prependEffects,
  addMs,
  noGeneration,
  noSeq,
  withEntry,
  clockOrigin,
  transition,
  toTimestamp,
} from '@switchwheel/types';
import {
  type Peer,
  type Frame,
  type FrameOf,
  type Report,
  log,
  send,
} from '@switchwheel/transport';
import {
  countVote,
  holdsLease,
  observeEpoch,
  heldEpoch,
  tickCandidate,
} from '@switchwheel/election';
import { nextElectorate, notePolledElectorate } from './leadership/electorate.js';
import {
  type HeartbeatContent,
  knownRegistries,
  onRegistryLost,
  tickSession,
  sendHeartbeat,
  highestEpoch,
  applyHeartbeatReply,
  applyMemberList,
} from '@switchwheel/membership';
import { absorbAll, noControl } from '@switchwheel/configuration';
import { onCall, onCompiled, onPiece, onWant, tickCalls } from './command/calls.js';
import {
  inSync,
  isPrimary,
  wantsElection,
  chooseBackups,
  electionContext,
  primaryTimeout,
} from './leadership/candidacy.js';
import { enqueue } from './command/queue.js';
import { tickRepair } from './command/repair.js';
import { checkInvariants } from './invariant/invariants.js';
import { copiesStandElsewhere, mayHandOver, successors } from './leadership/leaving.js';
import { feedOne } from './feed/feed.js';
import {
  endLeadership,
  onReplicated,
  onSynced,
  onUnsynced,
  onElected,
  startWrite,
  tickWrite,
  handOverLeadership,
} from './primary-write/primary-write.js';
import {
  sendStatus,
  onBackupWriteSynced,
  onBackupWriteFailed,
  onReplicate,
  onFetchEntries,
  onBootstrap,
  onPeerStatus,
  onRangeListing,
  onResyncEntries,
} from './resync/resync.js';
import { tickOrigins, storedOrigins } from './origins/origins.js';
import { onTally, tickReleases } from './release/release.js';
import { forgetGone } from './state/forget.js';
import type { Found, StoreEffect, StoreEvent } from './state/event.js';
import { type Store, type Subscriber, ownId } from './state/state.js';

type Done = Transition<Store, StoreEffect>;
const planInterval = 60_000;
const engineInterval = 5000;
const offlineAfter = 2000;
const hintInterval = 300;
/** How long a store that is asked to stop may take if it isn't told. */
const defaultLeaveGrace = 4000;
/** For how long a store that leaves does not stand for the duty again. */
const leaveStandDown = 60_000;
/** How long a node may be out of touch before it is forgotten. */
const forgetAfter = 3_600_000;

const ownReport = (state: Store, now: Timestamp): Report => ({
  generation: state.control.stored?.offer.generation ?? noGeneration,
  phase: 'none',
  ready: state.phase === 'member' && (isPrimary(state, now) || inSync(state)),
  health: {
    name: 'store',
    healthy: state.trouble === '' && state.diskFull === undefined,
    text:
      state.trouble !== '' ? state.trouble : state.diskFull === undefined ? '' : 'the disk is full',
    parts: [
      {
        name: isPrimary(state, now) ? 'primary' : inSync(state) ? 'backup' : 'out of sync',
        healthy: inSync(state),
        text: '',
        parts: [],
      },
    ],
  },
});

const heartbeatContent = (state: Store, now: Timestamp, bye: boolean): HeartbeatContent => ({
  report: ownReport(state, now),
  held: [],
  purged: noSeq,
  bye,
});

const onRead = (before: Store, found: Found, now: Timestamp): Done => {
  const state: Store = { ...before, startedAt: now };
  if (found.found === 'nothing')
    return transition(
      { ...state, phase: 'empty' },
      log('info', 'the disk is empty: this store is no member until it is founded or mended'),
    );
  if (found.found === 'damaged') {
    return transition(
      { ...state, phase: 'empty', mustWipe: true, trouble: `damaged disk: ${found.text}` },
      log('error', 'the disk is damaged: nothing of it is used, a peer has to mend this store', [
        'why',
        found.text,
      ]),
    );
  }
  const table = new Map(found.entries.map(({ key, ...entry }) => [key, entry]));
  const control = absorbAll(
    noControl,
    found.entries.map(({ key, data }) => ({ key, data })),
  );
  const next: Store = {
    ...state,
    phase: 'member',
    metadata: found.metadata,
    stamp: found.stamp,
    table,
    control,
    candidate: observeEpoch(
      { ...state.candidate, inSyncSet: found.metadata.inSyncSet },
      found.metadata.epoch,
    ),
  };
  return transition(
    next,
    log(
      'info',
      'the disk is read',
      ['entries', found.entries.length],
      ['epoch', found.metadata.epoch],
      ['generation', control.stored?.offer.generation ?? 0],
    ),
  );
};

/** Follows a change of the stand: a win is served, a loss ends all that was under way. */
const onCandidateChange = (before: Store, after: Store, now: Timestamp): Done => {
  const was = before.candidate.phase.phase;
  const is = after.candidate.phase.phase;
  if (was === 'requestingVotes' && is === 'holdingLease')
    return prependEffects(
      [log('info', 'won the duty', ['epoch', heldEpoch(after.candidate)])],
      onElected(after, now),
    );
  if ((was === 'requestingVotes' || was === 'holdingLease') && is === 'idle') {
    const ended = endLeadership(after);
    return prependEffects(was === 'holdingLease' ? [log('warn', 'the duty is over')] : [], ended);
  }
  return transition(after);
};

const onVote = (state: Store, word: FrameOf<'vote'>, now: Timestamp): Done => {
  if (state.metadata === undefined) return transition(state);
  const nodeSession =
    word.electorate === undefined ||
    (state.session.electorate !== undefined &&
      state.session.electorate.serial >= word.electorate.serial)
      ? state.session
      : { ...state.session, electorate: word.electorate };
  const base = { ...state, session: nodeSession };
  return onCandidateChange(
    base,
    {
      ...base,
      candidate: countVote(base.candidate, electionContext(base, state.metadata, now), word, now),
    },
    now,
  );
};

const onSubscribe = (state: Store, word: FrameOf<'subscribe'>, now: Timestamp): Done => {
  if (!isPrimary(state, now)) return transition(state);
  const row: Subscriber = {
    address: word.registry.address,
    area: word.registry.area,
    voter: word.voter,
    at: now,
    serial: word.epoch === heldEpoch(state.candidate) ? word.serial : noSeq,
    purged: word.purged,
  };
  let next: Store = {
    ...state,
    subscribers: withEntry(state.subscribers, word.registry.node, row),
  };
  const effects: StoreEffect[] = [...feedOne(next, row, word.at, now)];
  let touch = next.contacts;
  let fresh = false;
  for (const one of word.reports) {
    const known = state.control.nodes.get(one.node);
    const near = touch.get(one.node);
    if (!one.open && near !== undefined && near.registry !== word.registry.node) continue;
    if (one.open) touch = withEntry(touch, one.node, { registry: word.registry.node, at: now });
    const same =
      known?.incarnation === one.incarnation &&
      known.online === one.open &&
      known.role === one.role &&
      equalAsJson(known.reported, one.report);
    if (same) continue;
    fresh ||= known === undefined;
    const waits = next.commandQueue.some(
      (command) =>
        command.kind === 'node' &&
        command.node === one.node &&
        command.incarnation === one.incarnation &&
        equalAsJson(command.report, one.report) &&
        command.online === one.open,
    );
    if (waits) continue;
    const queued = enqueue(next, {
      kind: 'node',
      node: one.node,
      role: one.role,
      incarnation: one.incarnation,
      online: one.open,
      report: one.report,
    });
    next = queued.state;
    effects.push(...queued.effects);
  }
  if (fresh) {
    const queued = enqueue(next, { kind: 'plan' });
    next = queued.state;
    effects.push(...queued.effects);
  }
  return transition({ ...next, contacts: touch }, ...effects);
};

/** Nodes that no registry has told of for a while are out of touch. */
const markOffline = (state: Store, now: Timestamp): Done => {
  let next: Done = transition(state);
  for (const [node, row] of state.control.nodes) {
    const near = state.contacts.get(node);
    if (!row.online && near !== undefined && now - near.at > forgetAfter) {
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
    if (!row.online || (near !== undefined && now - near.at < offlineAfter)) continue;
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

/** Has the lease renewed with the next tick: a change of the electorate waits for it. */
const renewSoon = (state: Store): Store => {
  const { candidate } = state;
  if (candidate.phase.phase !== 'holdingLease') return state;
  const due = toTimestamp(Math.max(0, candidate.phase.asked - candidate.lease));
  return { ...state, candidate: { ...candidate, phase: { ...candidate.phase, asked: due } } };
};

/** Lets the electorate follow the registries, one member at a time. */
const followRegistries = (before: Store, now: Timestamp): Done => {
  const noted = notePolledElectorate(before, now);
  const state = noted === before ? before : renewSoon(noted);
  const open =
    state.primaryWrite !== undefined ||
    state.commandQueue.some((one) => one.kind === 'electorate' || one.kind === 'seats');
  const electorate = state.settings.follow && !open ? nextElectorate(state, now) : undefined;
  if (electorate === undefined) return transition(state);
  const queued = enqueue(state, { kind: 'seats', electorate });
  return prependEffects(
    [
      log('info', 'the electorate follows the registries', [
        'members',
        electorate.members.map((one) => one.node).join(', '),
      ]),
    ],
    queued,
  );
};

const tickPrimary = (state: Store, now: Timestamp): Done => {
  const seated = followRegistries(state, now);
  let next = prependEffects(seated.effects, markOffline(seated.state, now));
  if (now - next.state.plannedAt >= planInterval)
    next = prependEffects(
      next.effects,
      enqueue({ ...next.state, plannedAt: now }, { kind: 'plan' }),
    );
  next = prependEffects(next.effects, tickRepair(next.state, now));
  next = prependEffects(next.effects, tickReleases(next.state, now));
  next = prependEffects(next.effects, tickOrigins(next.state, now));
  const due = next.state.engineDueAt;
  if ((due !== undefined && now >= due) || now - next.state.engineRanAt >= engineInterval) {
    next = prependEffects(
      next.effects,
      enqueue({ ...next.state, engineDueAt: undefined, engineRanAt: now }, { kind: 'turn' }),
    );
  }
  return next;
};

/**
 * While no primary is heard of, the registries are told what this disk holds: nodes that run
 * nothing need not wait for an election. Each registry is told, as each needs the word of every
 * store in sync; the store's own gets the origins too.
 */
const sendHint = (state: Store, now: Timestamp): readonly StoreEffect[] => {
  const offer = state.control.stored?.offer;
  const { metadata, session } = state;
  if (
    metadata === undefined ||
    session.registryLink === undefined ||
    isPrimary(state, now) ||
    now - state.primaryHeardAt < primaryTimeout
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

const onTick = (before: Store, now: Timestamp): Done => {
  if (before.phase === 'reading') return transition(before);
  const state = forgetGone(before, now);
  const drifted = tickSession(state.session, heartbeatContent(state, now, false), now);
  let next: Done = transition({ ...state, session: drifted.state }, ...drifted.effects);
  const metadata = next.state.metadata;
  if (metadata !== undefined && state.phase === 'member') {
    const base: Store =
      next.state.candidate.phase.phase === 'idle'
        ? {
            ...next.state,
            candidate: { ...next.state.candidate, inSyncSet: chooseBackups(next.state, now) },
          }
        : next.state;
    const known = observeEpoch(base.candidate, highestEpoch(base.session, base.candidate.duty));
    const passed = tickCandidate(
      known,
      electionContext(base, metadata, now),
      wantsElection(base, now),
      base.dice,
      now,
    );
    next = prependEffects(
      [...next.effects, ...passed.effects],
      onCandidateChange(
        base,
        { ...base, candidate: passed.state.candidate, dice: passed.state.dice },
        now,
      ),
    );
  }
  if (now - state.statusSentAt >= hintInterval)
    next = transition(next.state, ...next.effects, ...sendHint(next.state, now));
  next = prependEffects(next.effects, sendStatus(next.state, now));
  next = prependEffects(next.effects, tickWrite(next.state, now));
  next = prependEffects(next.effects, tickCalls(next.state, now));
  next = prependEffects(next.effects, tickLeaving(next.state, now));
  return isPrimary(next.state, now)
    ? prependEffects(next.effects, tickPrimary(next.state, now))
    : next;
};

/** Ends this store: the duty is given up if it still has it, and the others are told. */
const finishLeaving = (state: Store, now: Timestamp): Done => {
  const bye = sendHeartbeat(state.session, heartbeatContent(state, now, true), now);
  const done = handOverLeadership({ ...state, session: bye.state }, leaveStandDown, now);
  const told = sendStatus({ ...done.state, phase: 'member', statusSentAt: clockOrigin }, now);
  return prependEffects(
    [...bye.effects, ...done.effects, ...told.effects],
    transition({ ...told.state, phase: 'stopping' }, { kind: 'stopped' }),
  );
};

/** Lets time pass over a leave: first the duty goes to a successor, then the copy, then this store. */
const tickLeaving = (state: Store, now: Timestamp): Done => {
  const { leaving } = state;
  if (leaving === undefined) return transition(state);
  if (now >= leaving.deadline) return finishLeaving(state, now);
  if (holdsLease(state.candidate, now)) {
    if (!mayHandOver(state, leaving.since, now)) return transition(state);
    const handed = handOverLeadership(state, leaveStandDown, now);
    return prependEffects(handed.effects, sendStatus(handed.state, now));
  }
  if (copiesStandElsewhere(state, leaving.since, now)) return finishLeaving(state, now);
  // Another one that is in sync is elected before this one; without any, this one has to lead.
  const successor = successors(state, now).length > 0;
  return transition(successor ? { ...state, standDownUntil: addMs(now, leaveStandDown) } : state);
};

const onStop = (state: Store, now: Timestamp, graceMs: number): Done => {
  if (state.leaving !== undefined) return transition(state);
  const leaving = { since: now, deadline: addMs(now, graceMs) };
  const begun = tickLeaving({ ...state, leaving, statusSentAt: clockOrigin }, now);
  // A handover has told the peers already; two words at once might overtake each other.
  return prependEffects(begun.effects, sendStatus(begun.state, now));
};

const onFrame = (state: Store, from: Peer, frame: Frame, now: Timestamp): Done => {
  switch (frame.kind) {
    case 'heartbeat-reply':
      return transition({
        ...state,
        session: applyHeartbeatReply(state.session, from, frame, now),
      });
    case 'member-list':
      return transition({ ...state, session: applyMemberList(state.session, from, frame, now) });
    case 'vote':
      return onVote(state, frame, now);
    case 'subscribe':
      return onSubscribe(state, frame, now);
    case 'call':
      return onCall(state, from, frame, now);
    case 'piece':
      return onPiece(state, frame, now);
    case 'piece-request':
      return onWant(state, from, frame);
    case 'replicate':
      return onReplicate(state, from, frame, now);
    case 'replicated':
      return onReplicated(state, frame, now);
    case 'replica-status':
      return onPeerStatus(state, from, frame, now);
    case 'range-listing':
      return onRangeListing(state, from, frame, now);
    case 'fetch-entries':
      return onFetchEntries(state, from, frame, now);
    case 'resync-entries':
      return onResyncEntries(state, from, frame, now);
    case 'bootstrap':
      return onBootstrap(state, from, frame, now);
    case 'tally':
      return isPrimary(state, now) ? onTally(state, frame, now) : transition(state);
    case 'trial':
      return isPrimary(state, now)
        ? enqueue(state, { kind: 'trial', to: from.address, word: frame })
        : transition(state);
    default:
      return transition(
        state,
        log(
          'warn',
          'a frame this program does not take',
          ['frame', frame.kind],
          ['from', from.node],
        ),
      );
  }
};

const onEvent = (state: Store, event: StoreEvent): Done => {
  if (state.phase === 'stopping') return transition(state);
  switch (event.kind) {
    case 'read':
      return onRead(state, event.found, event.now);
    case 'tick':
      return onTick(state, event.now);
    case 'frame':
      return state.phase === 'reading'
        ? transition(state)
        : onFrame(state, event.from, event.frame, event.now);
    case 'gone':
      return transition({
        ...state,
        session: onRegistryLost(state.session, event.address, event.now),
      });
    case 'synced':
      return state.backupWrite?.id === event.id
        ? onBackupWriteSynced(state, event.id, event.now)
        : onSynced(state, event.id, event.now);
    case 'unsynced':
      return state.backupWrite?.id === event.id
        ? onBackupWriteFailed(state, event.id, event.text, event.full, event.now)
        : onUnsynced(state, event.id, event.text, event.full, event.now);
    case 'compiled':
      return onCompiled(state, event.hash, event.faults);
    case 'stop':
      return onStop(state, event.now, event.graceMs ?? defaultLeaveGrace);
  }
};

/** The store: one function for every change of its state. What an event queued is written at its end. */
export const storeStep = (state: Store, event: StoreEvent): Done => {
  const handled = onEvent(state, event);
  const written = prependEffects(handled.effects, startWrite(handled.state, event.now));
  return prependEffects(written.effects, checkInvariants(state, written.state));
};
