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
  type NodeStatus,
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
import { applyPuts, emptyControlState } from '@switchwheel/configuration';
import {
  onOperatorCommand,
  onCompiled,
  onChunk,
  onChunkRequest,
  tickAwaitingChunks,
} from './commands/operator-commands.js';
import {
  inSync,
  isPrimary,
  wantsElection,
  chooseBackups,
  electionContext,
  primaryTimeoutMs,
} from './leadership/candidacy.js';
import { enqueue } from './commands/queue.js';
import { tickChunkRepair } from './commands/chunk-repair.js';
import { checkInvariants } from './state/invariants.js';
import { hasEnoughReplicasElsewhere, mayHandOver, successors } from './leadership/graceful-stop.js';
import { feedSubscriber } from './registries/feed.js';
import {
  endLeadership,
  onReplicated,
  onPrimaryWriteSynced,
  onPrimaryWriteFailed,
  onElected,
  startWrite,
  tickPrimaryWrite,
  handOverLeadership,
} from './log-write/primary-write.js';
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
import { tickOrigins, storedOrigins } from './origins/origin-records.js';
import { onTally, tickReleases } from './releases/release-progress.js';
import { expireSilentMembers } from './state/expiry.js';
import type { DiskContents, StoreEffect, StoreEvent } from './state/events.js';
import { type StoreState, type Subscriber, ownId } from './state/state.js';

type StoreTransition = Transition<StoreState, StoreEffect>;
const rolloutPlanIntervalMs = 60_000;
const rolloutIntervalMs = 5000;
const nodeOfflineAfterMs = 2000;
const hintIntervalMs = 300;
/** How long a store that is asked to stop may take if it isn't told. */
const defaultStopGraceMs = 4000;
/** For how long a store that leaves does not stand for the duty again. */
const stopStandDownMs = 60_000;
/** How long a node may be out of touch before it is forgotten. */
const forgetNodeAfterMs = 3_600_000;

const ownReport = (state: StoreState, now: Timestamp): NodeStatus => ({
  generation: state.control.configuration?.offer.generation ?? noGeneration,
  phase: 'none',
  ready: state.phase === 'member' && (isPrimary(state, now) || inSync(state)),
  health: {
    name: 'store',
    healthy: state.diskDamage === '' && state.diskFullAt === undefined,
    text:
      state.diskDamage !== ''
        ? state.diskDamage
        : state.diskFullAt === undefined
          ? ''
          : 'the disk is full',
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

const heartbeatContent = (
  state: StoreState,
  now: Timestamp,
  isLast: boolean,
): HeartbeatContent => ({
  report: ownReport(state, now),
  heldLeases: [],
  latestPurge: noSeq,
  isLeaving: isLast,
});

const onDiskRead = (before: StoreState, found: DiskContents, now: Timestamp): StoreTransition => {
  const state: StoreState = { ...before, startedAt: now };
  if (found.status === 'empty')
    return transition(
      { ...state, phase: 'empty' },
      log('info', 'the disk is empty: this store is no member until it is founded or mended'),
    );
  if (found.status === 'damaged') {
    return transition(
      { ...state, phase: 'empty', mustWipe: true, diskDamage: `damaged disk: ${found.reason}` },
      log('error', 'the disk is damaged: nothing of it is used, a peer has to mend this store', [
        'why',
        found.reason,
      ]),
    );
  }
  const table = new Map(found.entries.map(({ key, ...entry }) => [key, entry]));
  const control = applyPuts(
    emptyControlState,
    found.entries.map(({ key, data }) => ({ key, data })),
  );
  const next: StoreState = {
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
      ['generation', control.configuration?.offer.generation ?? 0],
    ),
  );
};

/** Follows a change of the stand: a win is served, a loss ends all that was under way. */
const onCandidateTransition = (
  before: StoreState,
  after: StoreState,
  now: Timestamp,
): StoreTransition => {
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

const onVote = (state: StoreState, vote: FrameOf<'vote'>, now: Timestamp): StoreTransition => {
  if (state.metadata === undefined) return transition(state);
  const nodeSession =
    vote.electorate === undefined ||
    (state.session.electorate !== undefined &&
      state.session.electorate.serial >= vote.electorate.serial)
      ? state.session
      : { ...state.session, electorate: vote.electorate };
  const base = { ...state, session: nodeSession };
  return onCandidateTransition(
    base,
    {
      ...base,
      candidate: countVote(base.candidate, electionContext(base, state.metadata, now), vote, now),
    },
    now,
  );
};

const onSubscribe = (
  state: StoreState,
  subscription: FrameOf<'subscribe'>,
  now: Timestamp,
): StoreTransition => {
  if (!isPrimary(state, now)) return transition(state);
  const row: Subscriber = {
    address: subscription.registry.address,
    zone: subscription.registry.area,
    voter: subscription.voter,
    at: now,
    serial: subscription.epoch === heldEpoch(state.candidate) ? subscription.serial : noSeq,
    purged: subscription.purged,
  };
  let next: StoreState = {
    ...state,
    subscribers: withEntry(state.subscribers, subscription.registry.node, row),
  };
  const effects: StoreEffect[] = [...feedSubscriber(next, row, subscription.at, now)];
  let touch = next.contacts;
  let fresh = false;
  for (const one of subscription.reports) {
    const known = state.control.nodes.get(one.node);
    const near = touch.get(one.node);
    if (!one.open && near !== undefined && near.registry !== subscription.registry.node) continue;
    if (one.open)
      touch = withEntry(touch, one.node, { registry: subscription.registry.node, at: now });
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
const markSilentNodesOffline = (state: StoreState, now: Timestamp): StoreTransition => {
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

/** Has the lease renewed with the next tick: a change of the electorate waits for it. */
const renewLeaseSoon = (state: StoreState): StoreState => {
  const { candidate } = state;
  if (candidate.phase.phase !== 'holdingLease') return state;
  const due = toTimestamp(Math.max(0, candidate.phase.renewalRequestedAt - candidate.leaseMs));
  return {
    ...state,
    candidate: { ...candidate, phase: { ...candidate.phase, renewalRequestedAt: due } },
  };
};

/** Lets the electorate follow the registries, one member at a time. */
const followRegistries = (before: StoreState, now: Timestamp): StoreTransition => {
  const noted = notePolledElectorate(before, now);
  const state = noted === before ? before : renewLeaseSoon(noted);
  const open =
    state.primaryWrite !== undefined ||
    state.commandQueue.some((one) => one.kind === 'electorate' || one.kind === 'seats');
  const electorate =
    state.settings.electorateFollowsRegistries && !open ? nextElectorate(state, now) : undefined;
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

const tickPrimary = (state: StoreState, now: Timestamp): StoreTransition => {
  const seated = followRegistries(state, now);
  let next = prependEffects(seated.effects, markSilentNodesOffline(seated.state, now));
  if (now - next.state.plannedAt >= rolloutPlanIntervalMs)
    next = prependEffects(
      next.effects,
      enqueue({ ...next.state, plannedAt: now }, { kind: 'plan' }),
    );
  next = prependEffects(next.effects, tickChunkRepair(next.state, now));
  next = prependEffects(next.effects, tickReleases(next.state, now));
  next = prependEffects(next.effects, tickOrigins(next.state, now));
  const due = next.state.rolloutsDueAt;
  if (
    (due !== undefined && now >= due) ||
    now - next.state.rolloutsAdvancedAt >= rolloutIntervalMs
  ) {
    next = prependEffects(
      next.effects,
      enqueue(
        { ...next.state, rolloutsDueAt: undefined, rolloutsAdvancedAt: now },
        { kind: 'turn' },
      ),
    );
  }
  return next;
};

/**
 * While no primary is heard of, the registries are told what this disk holds: nodes that run
 * nothing need not wait for an election. Each registry is told, as each needs the word of every
 * store in sync; the store's own gets the origins too.
 */
const sendHint = (state: StoreState, now: Timestamp): readonly StoreEffect[] => {
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

const onTick = (before: StoreState, now: Timestamp): StoreTransition => {
  if (before.phase === 'reading') return transition(before);
  const state = expireSilentMembers(before, now);
  const drifted = tickSession(state.session, heartbeatContent(state, now, false), now);
  let next: StoreTransition = transition({ ...state, session: drifted.state }, ...drifted.effects);
  const metadata = next.state.metadata;
  if (metadata !== undefined && state.phase === 'member') {
    const base: StoreState =
      next.state.candidate.phase.phase === 'idle'
        ? {
            ...next.state,
            candidate: { ...next.state.candidate, inSyncSet: chooseBackups(next.state, now) },
          }
        : next.state;
    const known = observeEpoch(
      base.candidate,
      highestEpoch(base.session, base.candidate.leaseName),
    );
    const passed = tickCandidate(
      known,
      electionContext(base, metadata, now),
      wantsElection(base, now),
      base.randomState,
      now,
    );
    next = prependEffects(
      [...next.effects, ...passed.effects],
      onCandidateTransition(
        base,
        { ...base, candidate: passed.state.candidate, randomState: passed.state.dice },
        now,
      ),
    );
  }
  if (now - state.statusSentAt >= hintIntervalMs)
    next = transition(next.state, ...next.effects, ...sendHint(next.state, now));
  next = prependEffects(next.effects, sendStatus(next.state, now));
  next = prependEffects(next.effects, tickPrimaryWrite(next.state, now));
  next = prependEffects(next.effects, tickAwaitingChunks(next.state, now));
  next = prependEffects(next.effects, tickStop(next.state, now));
  return isPrimary(next.state, now)
    ? prependEffects(next.effects, tickPrimary(next.state, now))
    : next;
};

/** Ends this store: the duty is given up if it still has it, and the others are told. */
const completeStop = (state: StoreState, now: Timestamp): StoreTransition => {
  const bye = sendHeartbeat(state.session, heartbeatContent(state, now, true), now);
  const done = handOverLeadership({ ...state, session: bye.state }, stopStandDownMs, now);
  const told = sendStatus({ ...done.state, phase: 'member', statusSentAt: clockOrigin }, now);
  return prependEffects(
    [...bye.effects, ...done.effects, ...told.effects],
    transition({ ...told.state, phase: 'stopping' }, { kind: 'completeStop' }),
  );
};

/** Lets time pass over a leave: first the duty goes to a successor, then the copy, then this store. */
const tickStop = (state: StoreState, now: Timestamp): StoreTransition => {
  const { stopping } = state;
  if (stopping === undefined) return transition(state);
  if (now >= stopping.deadline) return completeStop(state, now);
  if (holdsLease(state.candidate, now)) {
    if (!mayHandOver(state, stopping.since, now)) return transition(state);
    const handed = handOverLeadership(state, stopStandDownMs, now);
    return prependEffects(handed.effects, sendStatus(handed.state, now));
  }
  if (hasEnoughReplicasElsewhere(state, stopping.since, now)) return completeStop(state, now);
  // Another one that is in sync is elected before this one; without any, this one has to lead.
  const successor = successors(state, now).length > 0;
  return transition(successor ? { ...state, standDownUntil: addMs(now, stopStandDownMs) } : state);
};

const onStopRequested = (state: StoreState, now: Timestamp, graceMs: number): StoreTransition => {
  if (state.stopping !== undefined) return transition(state);
  const leaving = { since: now, deadline: addMs(now, graceMs) };
  const begun = tickStop({ ...state, stopping: leaving, statusSentAt: clockOrigin }, now);
  // A handover has told the peers already; two words at once might overtake each other.
  return prependEffects(begun.effects, sendStatus(begun.state, now));
};

const onFrame = (state: StoreState, from: Peer, frame: Frame, now: Timestamp): StoreTransition => {
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
      return onOperatorCommand(state, from, frame, now);
    case 'piece':
      return onChunk(state, frame, now);
    case 'piece-request':
      return onChunkRequest(state, from, frame);
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

const onEvent = (state: StoreState, event: StoreEvent): StoreTransition => {
  if (state.phase === 'stopping') return transition(state);
  switch (event.kind) {
    case 'diskRead':
      return onDiskRead(state, event.contents, event.now);
    case 'tick':
      return onTick(state, event.now);
    case 'frameReceived':
      return state.phase === 'reading'
        ? transition(state)
        : onFrame(state, event.from, event.frame, event.now);
    case 'peerDisconnected':
      return transition({
        ...state,
        session: onRegistryLost(state.session, event.address, event.now),
      });
    case 'writeSynced':
      return state.backupWrite?.id === event.writeId
        ? onBackupWriteSynced(state, event.writeId, event.now)
        : onPrimaryWriteSynced(state, event.writeId, event.now);
    case 'writeFailed':
      return state.backupWrite?.id === event.writeId
        ? onBackupWriteFailed(state, event.writeId, event.reason, event.isDiskFull, event.now)
        : onPrimaryWriteFailed(state, event.writeId, event.reason, event.isDiskFull, event.now);
    case 'configurationCompiled':
      return onCompiled(state, event.hash, event.faults);
    case 'stopRequested':
      return onStopRequested(state, event.now, event.graceMs ?? defaultStopGraceMs);
  }
};

/** The store: one function for every change of its state. What an event queued is written at its end. */
export const storeTransition = (state: StoreState, event: StoreEvent): StoreTransition => {
  const handled = onEvent(state, event);
  const written = prependEffects(handled.effects, startWrite(handled.state, event.now));
  return prependEffects(written.effects, checkInvariants(state, written.state));
};
