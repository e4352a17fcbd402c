import {
  type Address,
  type Invariant,
  type Timestamp,
  type NodeId,
  type Transition,
  prependEffects,
  nextSeq,
  clockOrigin,
  transition,
  toTimestamp,
} from '@switchwheel/types';
import {
  type ClusterMetadata,
  type FrameOf,
  type TableMutation,
  type LogPosition,
  log,
  send,
} from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { applyPuts } from '@switchwheel/configuration';
import { decide } from '../commands/decide.js';
import { sendReply } from '../commands/queue.js';
import { isPrimary, resignLease } from '../leadership/candidacy.js';
import {
  awaitsLearner,
  hasEnoughReplicas,
  peerTimeoutMs,
} from '../leadership/replica-placement.js';
import { feedSubscribers } from '../registries/feed.js';
import { noteViolations } from '../state/invariants.js';
import type { StoreEffect } from '../state/events.js';
import {
  type CommandReply,
  type Command,
  type PeerStatus,
  type PrimaryWrite,
  type StoreState,
  ownId,
} from '../state/state.js';
import { withPuts } from '../state/table.js';
import { noteShortage, replaceBackups } from './backup-replacement.js';

type StoreTransition = Transition<StoreState, StoreEffect>;
/** How long a backup may take before another store replaces it. */
export const replicationTimeoutMs = 400;
/** How long the own disk may make no progress before the duty is given up. */
export const diskTimeoutMs = 700;
const resendIntervalMs = 150;
/** At most how often the engine acts on events; the first is acted on at once. */
const rolloutThrottleMs = 250;
/** How often a full disk is tried again for the metadata of a holding. */
const fullDiskRetryMs = 1000;
const maxBatchCommands = 512;
/** No more commands join a write once it bears so many characters: it has to fit one frame. */
const maxBatchCharacters = 1024 * 1024;
const noHeldChunks: StoreState['heldChunks'] = new Map();
const noAcknowledgements: PrimaryWrite['acknowledgedBy'] = new Set();

const diskWrite = (
  id: number,
  metadata: ClusterMetadata,
  stamp: LogPosition,
  puts: readonly TableMutation[],
): StoreEffect => ({
  kind: 'writeToDisk',
  write: {
    id,
    metadata,
    stamp,
    wipesFirst: false,
    entries: puts.flatMap(({ key, data }) => (data === null ? [] : [{ key, stamp, data }])),
    deletedKeys: puts.flatMap(({ key, data }) => (data === null ? [key] : [])),
  },
});

/** Opens a write with nothing in it but a metadata. */
export const writeMetadata = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  const stamp: LogPosition = { epoch: metadata.epoch, seq: nextSeq(state.stamp.seq) };
  const primaryWrite: PrimaryWrite = {
    id: state.nextWriteId,
    phase: 'disk',
    isOnOwnDisk: false,
    phaseStartedAt: now,
    lastSentAt: now,
    metadata,
    acknowledgedBy: noAcknowledgements,
    stamp,
    previousStamp: state.stamp,
    puts: [],
    controlAfter: state.control,
    replies: [],
    canaryReports: [],
  };
  return transition(
    { ...state, primaryWrite, nextWriteId: state.nextWriteId + 1 },
    diskWrite(primaryWrite.id, metadata, stamp, []),
  );
};

const unknownOutcomeReplies = (results: readonly CommandReply[]): readonly StoreEffect[] =>
  results.map((one) =>
    sendReply({
      ...one,
      status: 504,
      body: JSON.stringify({
        kind: 'unknown',
        id: one.id,
        text: 'the duty moved while this was being written; ask again with this id',
      }),
    }),
  );

/** What lasts on this disk alone stays in the table: the digests will tell it from what the next primary has. */
const applyLocally = (state: StoreState, primaryWrite: PrimaryWrite): StoreState => ({
  ...state,
  primaryWrite: undefined,
  // What a restart would read: the disk has the metadata of this write, and its epoch only goes up.
  metadata: primaryWrite.metadata,
  standDownUntil: clockOrigin,
  stamp: primaryWrite.stamp,
  table: withPuts(state.table, primaryWrite.puts, primaryWrite.stamp),
  control: primaryWrite.controlAfter,
});

/** Gives a write up that this store can no longer finish: whether it takes effect is not known. */
export const abandon = (state: StoreState): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite === undefined || primaryWrite.phase === 'orphan') return transition(state);
  const next =
    primaryWrite.phase === 'copy'
      ? applyLocally(state, primaryWrite)
      : { ...state, primaryWrite: { ...primaryWrite, phase: 'orphan' as const } };
  return transition(next, ...unknownOutcomeReplies(primaryWrite.replies));
};

/** Ends all that was under way in a holding. */
export const endLeadership = (state: StoreState): StoreTransition =>
  abandon({
    ...state,
    isServing: false,
    isReadOnly: false,
    commandQueue: [],
    awaitingChunks: new Map(),
    compiling: new Map(),
    releaseWatches: new Map(),
    rolloutsDueAt: undefined,
    shortageSince: undefined,
  });

/** Gives the duty up for a while, and with it all that was under way. */
export const handOverLeadership = (
  state: StoreState,
  standDownMs: number,
  now: Timestamp,
): StoreTransition => {
  const resigned = resignLease(state, standDownMs, now);
  // The peer hears of it at once: the next greeting is due now.
  return prependEffects(
    resigned.effects,
    endLeadership({ ...resigned.state, statusSentAt: clockOrigin }),
  );
};

interface Batch {
  readonly batch: readonly Command[];
  readonly rest: readonly Command[];
  /** Whether orders wait, as there are too few copies and a store is on its way to become one. */
  readonly lacksReplicas: boolean;
}

/** What the next write takes; orders wait while a store is on its way into a set too small for them. */
const nextBatch = (state: StoreState, metadata: ClusterMetadata, now: Timestamp): Batch => {
  const queue = state.commandQueue;
  const set = metadata.inSyncSet;
  const isShort = !hasEnoughReplicas(state, set) && awaitsLearner(state, set, now);
  if (!isShort)
    return {
      batch: queue.slice(0, maxBatchCommands),
      rest: queue.slice(maxBatchCommands),
      lacksReplicas: isShort,
    };
  const isOrder = (command: Command): boolean => 'asker' in command;
  const inner = queue.filter((one) => !isOrder(one));
  return {
    batch: inner.slice(0, maxBatchCommands),
    rest: [...queue.filter(isOrder), ...inner.slice(maxBatchCommands)],
    lacksReplicas: isShort,
  };
};

/** Takes what waits, in its order, and makes one write of it. */
export const startWrite = (state: StoreState, now: Timestamp): StoreTransition => {
  const metadata = state.metadata;
  if (
    state.primaryWrite !== undefined ||
    metadata === undefined ||
    state.commandQueue.length === 0 ||
    state.isReadOnly ||
    !isPrimary(state, now)
  )
    return transition(state);
  const { batch, rest, lacksReplicas } = nextBatch(state, metadata, now);
  if (batch.length === 0) return transition(lacksReplicas ? noteShortage(state, now) : state);
  const stamp: LogPosition = { epoch: heldEpoch(state.candidate), seq: nextSeq(state.stamp.seq) };
  let draft = state.control;
  let electorate = metadata.electorate;
  let next = state;
  const puts: TableMutation[] = [];
  const results: CommandReply[] = [];
  const rejections: CommandReply[] = [];
  const violations: Invariant[] = [];
  const tried: PrimaryWrite['canaryReports'][number][] = [];
  let taken = 0;
  let characters = 0;
  for (const command of batch) {
    if (characters >= maxBatchCharacters) break;
    taken += 1;
    const decision = decide(next, draft, command, stamp.seq, now);
    draft = applyPuts(draft, decision.puts);
    puts.push(...decision.puts);
    for (const one of decision.puts) characters += one.data?.length ?? 0;
    results.push(...decision.repliesAfterWrite);
    rejections.push(...decision.immediateReplies);
    electorate = decision.electorate ?? electorate;
    violations.push(...(decision.violations ?? []));
    if (command.kind === 'trial') tried.push({ to: command.to, word: command.word });
    if (command.kind === 'turn')
      next = {
        ...next,
        targetStatusSeen: decision.seen ?? next.targetStatusSeen,
        rolloutOpenedAt: decision.opened,
      };
  }
  const noted = noteViolations(next, violations);
  next = { ...noted.state, commandQueue: [...batch.slice(taken), ...rest] };
  const told = [...noted.effects, ...rejections.map(sendReply)];
  if (puts.length === 0 && results.length === 0 && electorate === metadata.electorate) {
    return transition(next, ...told, ...tried.flatMap((one) => canaryReplies(draft, one)));
  }
  const primaryWrite: PrimaryWrite = {
    id: state.nextWriteId,
    phase: 'disk',
    isOnOwnDisk: false,
    phaseStartedAt: now,
    lastSentAt: now,
    acknowledgedBy: noAcknowledgements,
    stamp,
    previousStamp: state.stamp,
    puts,
    controlAfter: draft,
    replies: results,
    canaryReports: tried,
    metadata: electorate === metadata.electorate ? metadata : { ...metadata, electorate },
  };
  return transition(
    { ...next, primaryWrite, nextWriteId: state.nextWriteId + 1 },
    ...told,
    diskWrite(primaryWrite.id, primaryWrite.metadata, stamp, puts),
  );
};

const canaryReplies = (
  control: StoreState['control'],
  one: PrimaryWrite['canaryReports'][number],
): readonly StoreEffect[] => {
  const verdict = [...control.canaryResults.values()].find(
    (row) => row.service === one.word.service && row.release === one.word.release,
  );
  return verdict === undefined ? [] : [send(one.to, { kind: 'tried', verdict, at: one.word.at })];
};

/** Who gets each write: the stores of the metadata, and those in touch that are not in it yet. */
const replicationTargets = (
  state: StoreState,
  metadata: ClusterMetadata,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number][] => {
  const named = metadata.stores.filter((one) => one.node !== ownId(state));
  const others = [...state.peers.values()].filter(
    (one) =>
      now - one.at < peerTimeoutMs &&
      one.metadata?.fleet === metadata.fleet &&
      !named.some((row) => row.node === one.node),
  );
  return [...named, ...others.map(({ node, address }) => ({ node, address }))];
};

/** The backups that must have a write and have not said so. */
const unacknowledgedBackups = (state: StoreState, primaryWrite: PrimaryWrite): readonly NodeId[] =>
  primaryWrite.metadata.inSyncSet.filter(
    (one) => one !== ownId(state) && !primaryWrite.acknowledgedBy.has(one),
  );

const replicateFrame = (primaryWrite: PrimaryWrite): FrameOf<'replicate'> => ({
  kind: 'replicate',
  metadata: primaryWrite.metadata,
  stamp: primaryWrite.stamp,
  prior: primaryWrite.previousStamp,
  puts: [...primaryWrite.puts],
});

const replicateTo = (
  primaryWrite: PrimaryWrite,
  to: readonly ClusterMetadata['stores'][number][],
): readonly StoreEffect[] => {
  const frame = replicateFrame(primaryWrite);
  return to.map((one) => send(one.address, frame));
};

const replicateToAll = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): readonly StoreEffect[] =>
  replicateTo(primaryWrite, replicationTargets(state, primaryWrite.metadata, now));

/** Sends the open write to a store that has just been brought to the state before it. */
export const replicateOpenWrite = (state: StoreState, to: Address): readonly StoreEffect[] =>
  state.primaryWrite?.phase === 'copy' ? [send(to, replicateFrame(state.primaryWrite))] : [];

const keyPrefixesWithoutNodeChange = [
  'purge/',
  'call/',
  'number/',
  'verdict/',
  'release/',
  'origin/',
];

/** Whether a write may change what nodes are to run, or is the first of its epoch. */
const changesNodes = (state: StoreState, primaryWrite: PrimaryWrite): boolean =>
  !state.isServing ||
  state.isReadOnly ||
  primaryWrite.metadata.epoch !== state.metadata?.epoch ||
  primaryWrite.puts.some(
    (one) => !keyPrefixesWithoutNodeChange.some((family) => one.key.startsWith(family)),
  );

/** The write lasts wherever it must: it counts, and everyone is told. */
const commitWrite = (
  state: StoreState,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): StoreTransition => {
  const first = !state.isServing || state.isReadOnly;
  const table = withPuts(state.table, primaryWrite.puts, primaryWrite.stamp);
  const next: StoreState = {
    ...state,
    primaryWrite: undefined,
    stamp: primaryWrite.stamp,
    table,
    control: primaryWrite.controlAfter,
    metadata: primaryWrite.metadata,
    isServing: true,
    isReadOnly: false,
    diskFullAt: undefined,
    shortageSince: hasEnoughReplicas(state, primaryWrite.metadata.inSyncSet)
      ? undefined
      : (state.shortageSince ?? now),
    lastNodeChangeSeq: changesNodes(state, primaryWrite)
      ? primaryWrite.stamp.seq
      : state.lastNodeChangeSeq,
  };
  const commands: Command[] = [];
  const stored =
    primaryWrite.controlAfter.configuration?.offer.generation !==
    state.control.configuration?.offer.generation;
  // A rollout that was just opened gets its first turn at once: the throttle is for events of targets.
  if (stored || first) commands.push({ kind: 'plan' }, { kind: 'turn' });
  const lists = primaryWrite.puts.some(
    (one) =>
      one.key.startsWith('node/') ||
      one.key.startsWith('target/') ||
      one.key.startsWith('rollout/'),
  );
  const due =
    first || lists
      ? toTimestamp(
          Math.min(
            next.rolloutsDueAt ?? Infinity,
            Math.max(now, next.rolloutsAdvancedAt + rolloutThrottleMs),
          ),
        )
      : next.rolloutsDueAt;
  const idle =
    next.awaitingChunks.size === 0 &&
    next.compiling.size === 0 &&
    !next.commandQueue.some((one) => one.kind === 'apply' || one.kind === 'pieces');
  const planned = {
    ...next,
    heldChunks: idle ? noHeldChunks : next.heldChunks,
    rolloutsDueAt: due,
    plannedAt: stored || first ? now : next.plannedAt,
    commandQueue: [...commands, ...next.commandQueue],
  };
  const told = [
    ...primaryWrite.replies.map(sendReply),
    ...primaryWrite.canaryReports.flatMap((one) => canaryReplies(primaryWrite.controlAfter, one)),
  ];
  const fed = feedSubscribers(planned, now);
  return transition(planned, ...told, ...fed);
};

/** The own disk has the write: the backups are next, those in sync must have it too. */
export const onPrimaryWriteSynced = (
  state: StoreState,
  writeId: number,
  now: Timestamp,
): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.id !== writeId) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition(applyLocally(state, primaryWrite));
  if (primaryWrite.phase !== 'disk') return transition(state);
  if (
    !holdsLease(state.candidate, now) ||
    heldEpoch(state.candidate) !== primaryWrite.metadata.epoch
  ) {
    return abandon({ ...state, primaryWrite: { ...primaryWrite, phase: 'copy' } });
  }
  const next: PrimaryWrite = {
    ...primaryWrite,
    phase: 'copy',
    isOnOwnDisk: true,
    acknowledgedBy: noAcknowledgements,
    phaseStartedAt: now,
    lastSentAt: now,
  };
  const whole = unacknowledgedBackups(state, next).length === 0;
  if (whole) return prependEffects(replicateToAll(state, next, now), commitWrite(state, next, now));
  return transition({ ...state, primaryWrite: next }, ...replicateToAll(state, next, now));
};

/** The own disk did not take the write: it never takes effect, unless this disk has had it since before. */
export const onPrimaryWriteFailed = (
  state: StoreState,
  writeId: number,
  reason: string,
  isDiskFull: boolean,
  now: Timestamp,
): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.id !== writeId) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition({ ...state, primaryWrite: undefined });
  const rejected = primaryWrite.isOnOwnDisk
    ? unknownOutcomeReplies(primaryWrite.replies)
    : primaryWrite.replies.map((one) =>
        sendReply({
          ...one,
          status: 503,
          body: JSON.stringify({
            kind: 'rejected',
            id: one.id,
            text: `the disk took nothing: ${reason}`,
            retryAfterMs: 2000,
          }),
        }),
      );
  const next: StoreState = {
    ...(primaryWrite.isOnOwnDisk ? applyLocally(state, primaryWrite) : state),
    // The disk has the write under the metadata from before: it refused the newer one.
    metadata: state.metadata,
    primaryWrite: undefined,
    diskFullAt: isDiskFull ? now : state.diskFullAt,
  };
  const words = log('error', 'the disk refused a write', ['why', reason]);
  const heir = [...state.peers.values()].some(
    (one) =>
      primaryWrite.metadata.inSyncSet.includes(one.node) &&
      !one.isDiskFull &&
      !one.isStopping &&
      now - one.at < 1000,
  );
  // With a peer in sync whose disk has room the duty goes to it.
  if (!isDiskFull || heir)
    return prependEffects([words, ...rejected], handOverLeadership(next, 10_000, now));
  // Otherwise reads and pushes go on, and writes are rejected until there is room.
  const written = state.isServing && primaryWrite.metadata.epoch === state.metadata?.epoch;
  return transition(
    { ...next, isServing: true, isReadOnly: state.isReadOnly || !written },
    words,
    ...rejected,
  );
};

/** Notes how far a store has come by its acknowledgement. */
const noteAcknowledgement = (
  state: StoreState,
  acknowledgement: FrameOf<'replicated'>,
  now: Timestamp,
): StoreState => {
  const peer = state.peers.get(acknowledgement.node);
  if (peer === undefined) return state;
  const row: PeerStatus = {
    ...peer,
    stamp: { epoch: acknowledgement.epoch, seq: acknowledgement.seq },
    isDiskFull: false,
    at: now,
    progressAt: now,
  };
  return { ...state, peers: new Map([...state.peers, [acknowledgement.node, row]]) };
};

/** A backup that refused a write is no candidate for the next set before it speaks again. */
const noteRefusal = (state: StoreState, node: NodeId): StoreState => {
  const peer = state.peers.get(node);
  if (peer === undefined) return state;
  const row: PeerStatus = { ...peer, isDiskFull: true };
  return { ...state, peers: new Map([...state.peers, [node, row]]) };
};

/** A backup answered a copy: once all in sync have it the write counts. */
export const onReplicated = (
  before: StoreState,
  acknowledgement: FrameOf<'replicated'>,
  now: Timestamp,
): StoreTransition => {
  const state = acknowledgement.ok ? noteAcknowledgement(before, acknowledgement, now) : before;
  const primaryWrite = state.primaryWrite;
  // An acknowledgement under an earlier epoch does not show that this epoch's metadata is on that disk.
  if (
    primaryWrite?.phase !== 'copy' ||
    acknowledgement.epoch !== primaryWrite.stamp.epoch ||
    acknowledgement.seq !== primaryWrite.stamp.seq ||
    acknowledgement.metadataEpoch !== primaryWrite.metadata.epoch
  )
    return transition(state);
  const isRequired = primaryWrite.metadata.inSyncSet.includes(acknowledgement.node);
  if (!acknowledgement.ok && !isRequired) return transition(state);
  if (!acknowledgement.ok)
    return prependEffects(
      [
        log(
          'warn',
          'a backup did not take a write',
          ['store', acknowledgement.node],
          ['why', acknowledgement.text],
        ),
      ],
      replaceBackups(noteRefusal(state, acknowledgement.node), [acknowledgement.node], now),
    );
  if (
    !holdsLease(state.candidate, now) ||
    heldEpoch(state.candidate) !== primaryWrite.metadata.epoch
  )
    return transition(state);
  const next: PrimaryWrite = {
    ...primaryWrite,
    acknowledgedBy: new Set([...primaryWrite.acknowledgedBy, acknowledgement.node]),
  };
  const whole = isRequired && unacknowledgedBackups(state, next).length === 0;
  return whole ? commitWrite(state, next, now) : transition({ ...state, primaryWrite: next });
};

/** Lets time pass over a write. */
export const tickPrimaryWrite = (state: StoreState, now: Timestamp): StoreTransition => {
  const primaryWrite = state.primaryWrite;
  if (
    primaryWrite === undefined &&
    state.isReadOnly &&
    state.metadata !== undefined &&
    state.candidate.phase.phase === 'holdingLease'
  ) {
    if (now - (state.diskFullAt ?? clockOrigin) < fullDiskRetryMs) return transition(state);
    return writeMetadata(
      { ...state, diskFullAt: now },
      {
        ...state.metadata,
        epoch: heldEpoch(state.candidate),
        inSyncSet: [...state.candidate.inSyncSet],
      },
      now,
    );
  }
  if (primaryWrite === undefined) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition(state);
  if (primaryWrite.phase === 'disk') {
    if (
      now - primaryWrite.phaseStartedAt <= diskTimeoutMs ||
      state.candidate.phase.phase !== 'holdingLease'
    )
      return transition(state);
    return prependEffects(
      [log('error', 'the disk makes no progress; giving the duty up')],
      handOverLeadership(state, 5000, now),
    );
  }
  if (state.candidate.phase.phase !== 'holdingLease') return transition(state);
  const late = unacknowledgedBackups(state, primaryWrite);
  const isLate = now - primaryWrite.phaseStartedAt > replicationTimeoutMs;
  const replaced: StoreTransition = isLate ? replaceBackups(state, late, now) : transition(state);
  const open = replaced.state.primaryWrite;
  if (
    open === undefined ||
    replaced.state.candidate.phase.phase !== 'holdingLease' ||
    now - open.lastSentAt <= resendIntervalMs
  )
    return replaced;
  const again = replicationTargets(replaced.state, open.metadata, now).filter((one) =>
    late.includes(one.node),
  );
  const resent: StoreState = { ...replaced.state, primaryWrite: { ...open, lastSentAt: now } };
  return transition(resent, ...replaced.effects, ...replicateTo(open, again));
};

/** This store won: the metadata of its holding is written before anything else. */
export const onElected = (state: StoreState, now: Timestamp): StoreTransition => {
  const metadata = state.metadata;
  if (metadata === undefined) return transition(state);
  const own: ClusterMetadata = {
    ...metadata,
    epoch: heldEpoch(state.candidate),
    inSyncSet: [...state.candidate.inSyncSet],
  };
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.phase === 'orphan') return handOverLeadership(state, 500, now);
  if (primaryWrite !== undefined && state.isServing) {
    // A write was under way when the in-sync set changed: it goes on under the new metadata.
    const next: PrimaryWrite = {
      ...primaryWrite,
      id: state.nextWriteId,
      metadata: { ...own, electorate: primaryWrite.metadata.electorate },
      phase: 'disk',
      phaseStartedAt: now,
    };
    return transition(
      { ...state, primaryWrite: next, nextWriteId: state.nextWriteId + 1 },
      diskWrite(next.id, next.metadata, next.stamp, next.puts),
    );
  }
  return writeMetadata({ ...state, primaryWrite: undefined }, own, now);
};
