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
  type Put,
  type Stamp,
  log,
  send,
} from '@switchwheel/transport';
import { heldEpoch, holdsLease } from '@switchwheel/election';
import { absorbAll } from '@switchwheel/configuration';
import { decide } from '../command/decide.js';
import { callReply } from '../command/queue.js';
import { isPrimary, resignFor } from '../leadership/candidacy.js';
import { awaitsSpare, hasEnoughCopies, peerTimeout } from '../leadership/copies.js';
import { feedAll } from '../feed/feed.js';
import { noteViolations } from '../invariant/invariants.js';
import type { StoreEffect } from '../state/event.js';
import {
  type CallResult,
  type Command,
  type PeerStatus,
  type PrimaryWrite,
  type Store,
  ownId,
} from '../state/state.js';
import { apply } from '../table/table.js';
import { noteShortage, replaceBackups } from './replacement.js';

type Done = Transition<Store, StoreEffect>;
/** How long a backup may take before another store replaces it. */
export const replicateTimeout = 400;
/** How long the own disk may make no progress before the duty is given up. */
export const diskTimeout = 700;
const resendInterval = 150;
/** At most how often the engine acts on events; the first is acted on at once. */
const engineThrottle = 250;
/** How often a full disk is tried again for the metadata of a holding. */
const fullDiskRetry = 1000;
const maxBatch = 512;
/** No more commands join a write once it bears so many characters: it has to fit one frame. */
const maxBatchCharacters = 1024 * 1024;
const noHeldPieces: Store['heldPieces'] = new Map();
const noConfirmations: PrimaryWrite['confirmed'] = new Set();

const diskWrite = (
  id: number,
  metadata: ClusterMetadata,
  stamp: Stamp,
  puts: readonly Put[],
): StoreEffect => ({
  kind: 'sync',
  write: {
    id,
    metadata,
    stamp,
    wipe: false,
    sets: puts.flatMap(({ key, data }) => (data === null ? [] : [{ key, stamp, data }])),
    drops: puts.flatMap(({ key, data }) => (data === null ? [key] : [])),
  },
});

/** Opens a write with nothing in it but a metadata. */
export const writeMetadata = (state: Store, metadata: ClusterMetadata, now: Timestamp): Done => {
  const stamp: Stamp = { epoch: metadata.epoch, seq: nextSeq(state.stamp.seq) };
  const primaryWrite: PrimaryWrite = {
    id: state.nextId,
    phase: 'disk',
    onOwnDisk: false,
    since: now,
    sent: now,
    metadata,
    confirmed: noConfirmations,
    stamp,
    prior: state.stamp,
    puts: [],
    draft: state.control,
    results: [],
    trialReports: [],
  };
  return transition(
    { ...state, primaryWrite, nextId: state.nextId + 1 },
    diskWrite(primaryWrite.id, metadata, stamp, []),
  );
};

const unknownOutcome = (results: readonly CallResult[]): readonly StoreEffect[] =>
  results.map((one) =>
    callReply({
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
const applyLocally = (state: Store, primaryWrite: PrimaryWrite): Store => ({
  ...state,
  primaryWrite: undefined,
  // What a restart would read: the disk has the metadata of this write, and its epoch only goes up.
  metadata: primaryWrite.metadata,
  standDownUntil: clockOrigin,
  stamp: primaryWrite.stamp,
  table: apply(state.table, primaryWrite.puts, primaryWrite.stamp),
  control: primaryWrite.draft,
});

/** Gives a write up that this store can no longer finish: whether it takes effect is not known. */
export const abandon = (state: Store): Done => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite === undefined || primaryWrite.phase === 'orphan') return transition(state);
  const next =
    primaryWrite.phase === 'copy'
      ? applyLocally(state, primaryWrite)
      : { ...state, primaryWrite: { ...primaryWrite, phase: 'orphan' as const } };
  return transition(next, ...unknownOutcome(primaryWrite.results));
};

/** Ends all that was under way in a holding. */
export const endLeadership = (state: Store): Done =>
  abandon({
    ...state,
    serving: false,
    readOnly: false,
    commandQueue: [],
    awaitingPieces: new Map(),
    compiling: new Map(),
    watches: new Map(),
    engineDueAt: undefined,
    shortageSince: undefined,
  });

/** Gives the duty up for a while, and with it all that was under way. */
export const handOverLeadership = (state: Store, rest: number, now: Timestamp): Done => {
  const resigned = resignFor(state, rest, now);
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
  readonly isShort: boolean;
}

/** What the next write takes; orders wait while a store is on its way into a set too small for them. */
const nextBatch = (state: Store, metadata: ClusterMetadata, now: Timestamp): Batch => {
  const queue = state.commandQueue;
  const set = metadata.inSyncSet;
  const isShort = !hasEnoughCopies(state, set) && awaitsSpare(state, set, now);
  if (!isShort) return { batch: queue.slice(0, maxBatch), rest: queue.slice(maxBatch), isShort };
  const isOrder = (command: Command): boolean => 'asker' in command;
  const inner = queue.filter((one) => !isOrder(one));
  return {
    batch: inner.slice(0, maxBatch),
    rest: [...queue.filter(isOrder), ...inner.slice(maxBatch)],
    isShort,
  };
};

/** Takes what waits, in its order, and makes one write of it. */
export const startWrite = (state: Store, now: Timestamp): Done => {
  const metadata = state.metadata;
  if (
    state.primaryWrite !== undefined ||
    metadata === undefined ||
    state.commandQueue.length === 0 ||
    state.readOnly ||
    !isPrimary(state, now)
  )
    return transition(state);
  const { batch, rest, isShort } = nextBatch(state, metadata, now);
  if (batch.length === 0) return transition(isShort ? noteShortage(state, now) : state);
  const stamp: Stamp = { epoch: heldEpoch(state.candidate), seq: nextSeq(state.stamp.seq) };
  let draft = state.control;
  let electorate = metadata.electorate;
  let next = state;
  const puts: Put[] = [];
  const results: CallResult[] = [];
  const rejections: CallResult[] = [];
  const violations: Invariant[] = [];
  const tried: PrimaryWrite['trialReports'][number][] = [];
  let taken = 0;
  let characters = 0;
  for (const command of batch) {
    if (characters >= maxBatchCharacters) break;
    taken += 1;
    const decision = decide(next, draft, command, stamp.seq, now);
    draft = absorbAll(draft, decision.puts);
    puts.push(...decision.puts);
    for (const one of decision.puts) characters += one.data?.length ?? 0;
    results.push(...decision.results);
    rejections.push(...decision.immediateReplies);
    electorate = decision.electorate ?? electorate;
    violations.push(...(decision.violations ?? []));
    if (command.kind === 'trial') tried.push({ to: command.to, word: command.word });
    if (command.kind === 'turn')
      next = { ...next, seen: decision.seen ?? next.seen, opened: decision.opened };
  }
  const noted = noteViolations(next, violations);
  next = { ...noted.state, commandQueue: [...batch.slice(taken), ...rest] };
  const told = [...noted.effects, ...rejections.map(callReply)];
  if (puts.length === 0 && results.length === 0 && electorate === metadata.electorate) {
    return transition(next, ...told, ...tried.flatMap((one) => trialReplies(draft, one)));
  }
  const primaryWrite: PrimaryWrite = {
    id: state.nextId,
    phase: 'disk',
    onOwnDisk: false,
    since: now,
    sent: now,
    confirmed: noConfirmations,
    stamp,
    prior: state.stamp,
    puts,
    draft,
    results,
    trialReports: tried,
    metadata: electorate === metadata.electorate ? metadata : { ...metadata, electorate },
  };
  return transition(
    { ...next, primaryWrite, nextId: state.nextId + 1 },
    ...told,
    diskWrite(primaryWrite.id, primaryWrite.metadata, stamp, puts),
  );
};

const trialReplies = (
  control: Store['control'],
  one: PrimaryWrite['trialReports'][number],
): readonly StoreEffect[] => {
  const verdict = [...control.verdicts.values()].find(
    (row) => row.service === one.word.service && row.release === one.word.release,
  );
  return verdict === undefined ? [] : [send(one.to, { kind: 'tried', verdict, at: one.word.at })];
};

/** Who gets each write: the stores of the metadata, and those in touch that are not in it yet. */
const learners = (
  state: Store,
  metadata: ClusterMetadata,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number][] => {
  const named = metadata.stores.filter((one) => one.node !== ownId(state));
  const others = [...state.peers.values()].filter(
    (one) =>
      now - one.at < peerTimeout &&
      one.metadata?.fleet === metadata.fleet &&
      !named.some((row) => row.node === one.node),
  );
  return [...named, ...others.map(({ node, address }) => ({ node, address }))];
};

/** The backups that must have a write and have not said so. */
const unconfirmedBackups = (state: Store, primaryWrite: PrimaryWrite): readonly NodeId[] =>
  primaryWrite.metadata.inSyncSet.filter(
    (one) => one !== ownId(state) && !primaryWrite.confirmed.has(one),
  );

const replicateFrame = (primaryWrite: PrimaryWrite): FrameOf<'replicate'> => ({
  kind: 'replicate',
  metadata: primaryWrite.metadata,
  stamp: primaryWrite.stamp,
  prior: primaryWrite.prior,
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
  state: Store,
  primaryWrite: PrimaryWrite,
  now: Timestamp,
): readonly StoreEffect[] => replicateTo(primaryWrite, learners(state, primaryWrite.metadata, now));

/** Sends the open write to a store that has just been brought to the state before it. */
export const replicateOpenWrite = (state: Store, to: Address): readonly StoreEffect[] =>
  state.primaryWrite?.phase === 'copy' ? [send(to, replicateFrame(state.primaryWrite))] : [];

const keysWithoutNodeChange = ['purge/', 'call/', 'number/', 'verdict/', 'release/', 'origin/'];

/** Whether a write may change what nodes are to run, or is the first of its epoch. */
const changesNodes = (state: Store, primaryWrite: PrimaryWrite): boolean =>
  !state.serving ||
  state.readOnly ||
  primaryWrite.metadata.epoch !== state.metadata?.epoch ||
  primaryWrite.puts.some(
    (one) => !keysWithoutNodeChange.some((family) => one.key.startsWith(family)),
  );

/** The write lasts wherever it must: it counts, and everyone is told. */
const commitWrite = (state: Store, primaryWrite: PrimaryWrite, now: Timestamp): Done => {
  const first = !state.serving || state.readOnly;
  const table = apply(state.table, primaryWrite.puts, primaryWrite.stamp);
  const next: Store = {
    ...state,
    primaryWrite: undefined,
    stamp: primaryWrite.stamp,
    table,
    control: primaryWrite.draft,
    metadata: primaryWrite.metadata,
    serving: true,
    readOnly: false,
    diskFull: undefined,
    shortageSince: hasEnoughCopies(state, primaryWrite.metadata.inSyncSet)
      ? undefined
      : (state.shortageSince ?? now),
    lastNodeChange: changesNodes(state, primaryWrite)
      ? primaryWrite.stamp.seq
      : state.lastNodeChange,
  };
  const commands: Command[] = [];
  const stored =
    primaryWrite.draft.stored?.offer.generation !== state.control.stored?.offer.generation;
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
          Math.min(next.engineDueAt ?? Infinity, Math.max(now, next.engineRanAt + engineThrottle)),
        )
      : next.engineDueAt;
  const idle =
    next.awaitingPieces.size === 0 &&
    next.compiling.size === 0 &&
    !next.commandQueue.some((one) => one.kind === 'apply' || one.kind === 'pieces');
  const planned = {
    ...next,
    heldPieces: idle ? noHeldPieces : next.heldPieces,
    engineDueAt: due,
    plannedAt: stored || first ? now : next.plannedAt,
    commandQueue: [...commands, ...next.commandQueue],
  };
  const told = [
    ...primaryWrite.results.map(callReply),
    ...primaryWrite.trialReports.flatMap((one) => trialReplies(primaryWrite.draft, one)),
  ];
  const fed = feedAll(planned, now);
  return transition(planned, ...told, ...fed);
};

/** The own disk has the write: the backups are next, those in sync must have it too. */
export const onSynced = (state: Store, id: number, now: Timestamp): Done => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.id !== id) return transition(state);
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
    onOwnDisk: true,
    confirmed: noConfirmations,
    since: now,
    sent: now,
  };
  const whole = unconfirmedBackups(state, next).length === 0;
  if (whole) return prependEffects(replicateToAll(state, next, now), commitWrite(state, next, now));
  return transition({ ...state, primaryWrite: next }, ...replicateToAll(state, next, now));
};

/** The own disk did not take the write: it never takes effect, unless this disk has had it since before. */
export const onUnsynced = (
  state: Store,
  id: number,
  text: string,
  full: boolean,
  now: Timestamp,
): Done => {
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.id !== id) return transition(state);
  if (primaryWrite.phase === 'orphan') return transition({ ...state, primaryWrite: undefined });
  const rejected = primaryWrite.onOwnDisk
    ? unknownOutcome(primaryWrite.results)
    : primaryWrite.results.map((one) =>
        callReply({
          ...one,
          status: 503,
          body: JSON.stringify({
            kind: 'rejected',
            id: one.id,
            text: `the disk took nothing: ${text}`,
            retryAfterMs: 2000,
          }),
        }),
      );
  const next: Store = {
    ...(primaryWrite.onOwnDisk ? applyLocally(state, primaryWrite) : state),
    // The disk has the write under the metadata from before: it refused the newer one.
    metadata: state.metadata,
    primaryWrite: undefined,
    diskFull: full ? now : state.diskFull,
  };
  const words = log('error', 'the disk refused a write', ['why', text]);
  const heir = [...state.peers.values()].some(
    (one) =>
      primaryWrite.metadata.inSyncSet.includes(one.node) &&
      !one.full &&
      !one.leaving &&
      now - one.at < 1000,
  );
  // With a peer in sync whose disk has room the duty goes to it.
  if (!full || heir)
    return prependEffects([words, ...rejected], handOverLeadership(next, 10_000, now));
  // Otherwise reads and pushes go on, and writes are rejected until there is room.
  const written = state.serving && primaryWrite.metadata.epoch === state.metadata?.epoch;
  return transition(
    { ...next, serving: true, readOnly: state.readOnly || !written },
    words,
    ...rejected,
  );
};

/** Notes how far a store has come by its acknowledgement. */
const noteAcknowledged = (state: Store, word: FrameOf<'replicated'>, now: Timestamp): Store => {
  const peer = state.peers.get(word.node);
  if (peer === undefined) return state;
  const row: PeerStatus = {
    ...peer,
    stamp: { epoch: word.epoch, seq: word.seq },
    full: false,
    at: now,
    progressAt: now,
  };
  return { ...state, peers: new Map([...state.peers, [word.node, row]]) };
};

/** A backup that refused a write is no candidate for the next set before it speaks again. */
const noteRefusal = (state: Store, node: NodeId): Store => {
  const peer = state.peers.get(node);
  if (peer === undefined) return state;
  const row: PeerStatus = { ...peer, full: true };
  return { ...state, peers: new Map([...state.peers, [node, row]]) };
};

/** A backup answered a copy: once all in sync have it the write counts. */
export const onReplicated = (before: Store, word: FrameOf<'replicated'>, now: Timestamp): Done => {
  const state = word.ok ? noteAcknowledged(before, word, now) : before;
  const primaryWrite = state.primaryWrite;
  // An acknowledgement under an earlier epoch does not show that this epoch's metadata is on that disk.
  if (
    primaryWrite?.phase !== 'copy' ||
    word.epoch !== primaryWrite.stamp.epoch ||
    word.seq !== primaryWrite.stamp.seq ||
    word.metadataEpoch !== primaryWrite.metadata.epoch
  )
    return transition(state);
  const isRequired = primaryWrite.metadata.inSyncSet.includes(word.node);
  if (!word.ok && !isRequired) return transition(state);
  if (!word.ok)
    return prependEffects(
      [log('warn', 'a backup did not take a write', ['store', word.node], ['why', word.text])],
      replaceBackups(noteRefusal(state, word.node), [word.node], now),
    );
  if (
    !holdsLease(state.candidate, now) ||
    heldEpoch(state.candidate) !== primaryWrite.metadata.epoch
  )
    return transition(state);
  const next: PrimaryWrite = {
    ...primaryWrite,
    confirmed: new Set([...primaryWrite.confirmed, word.node]),
  };
  const whole = isRequired && unconfirmedBackups(state, next).length === 0;
  return whole ? commitWrite(state, next, now) : transition({ ...state, primaryWrite: next });
};

/** Lets time pass over a write. */
export const tickWrite = (state: Store, now: Timestamp): Done => {
  const primaryWrite = state.primaryWrite;
  if (
    primaryWrite === undefined &&
    state.readOnly &&
    state.metadata !== undefined &&
    state.candidate.phase.phase === 'holdingLease'
  ) {
    if (now - (state.diskFull ?? clockOrigin) < fullDiskRetry) return transition(state);
    return writeMetadata(
      { ...state, diskFull: now },
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
    if (now - primaryWrite.since <= diskTimeout || state.candidate.phase.phase !== 'holdingLease')
      return transition(state);
    return prependEffects(
      [log('error', 'the disk makes no progress; giving the duty up')],
      handOverLeadership(state, 5000, now),
    );
  }
  if (state.candidate.phase.phase !== 'holdingLease') return transition(state);
  const late = unconfirmedBackups(state, primaryWrite);
  const isLate = now - primaryWrite.since > replicateTimeout;
  const replaced: Done = isLate ? replaceBackups(state, late, now) : transition(state);
  const open = replaced.state.primaryWrite;
  if (
    open === undefined ||
    replaced.state.candidate.phase.phase !== 'holdingLease' ||
    now - open.sent <= resendInterval
  )
    return replaced;
  const again = learners(replaced.state, open.metadata, now).filter((one) =>
    late.includes(one.node),
  );
  const resent: Store = { ...replaced.state, primaryWrite: { ...open, sent: now } };
  return transition(resent, ...replaced.effects, ...replicateTo(open, again));
};

/** This store won: the metadata of its holding is written before anything else. */
export const onElected = (state: Store, now: Timestamp): Done => {
  const metadata = state.metadata;
  if (metadata === undefined) return transition(state);
  const own: ClusterMetadata = {
    ...metadata,
    epoch: heldEpoch(state.candidate),
    inSyncSet: [...state.candidate.inSyncSet],
  };
  const primaryWrite = state.primaryWrite;
  if (primaryWrite?.phase === 'orphan') return handOverLeadership(state, 500, now);
  if (primaryWrite !== undefined && state.serving) {
    // A write was under way when the in-sync set changed: it goes on under the new metadata.
    const next: PrimaryWrite = {
      ...primaryWrite,
      id: state.nextId,
      metadata: { ...own, electorate: primaryWrite.metadata.electorate },
      phase: 'disk',
      since: now,
    };
    return transition(
      { ...state, primaryWrite: next, nextId: state.nextId + 1 },
      diskWrite(next.id, next.metadata, next.stamp, next.puts),
    );
  }
  return writeMetadata({ ...state, primaryWrite: undefined }, own, now);
};
