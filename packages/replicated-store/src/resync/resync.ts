import {
  type Timestamp,
  type NodeId,
  type Transition,
  prependEffects,
  nextSeq,
  noEpoch,
  noSeq,
  clockOrigin,
  transition,
  toTimestamp,
} from '@switchwheel/types';
import {
  type ClusterMetadata,
  type Peer,
  type FrameOf,
  type TableMutation,
  type LogPosition,
  log,
  send,
} from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { applyPuts } from '@switchwheel/configuration';
import { inSync, reachableInSync, isPrimary, primaryTimeoutMs } from '../leadership/candidacy.js';
import {
  zoneOf,
  chooseReplicas,
  hasEnoughReplicas,
  peerTimeoutMs,
} from '../leadership/replica-placement.js';
import { replicateOpenWrite } from '../log-write/primary-write.js';
import { replaceBackups, requestInSyncSet } from '../log-write/backup-replacement.js';
import type { StoreEffect } from '../state/events.js';
import {
  type BackupWrite,
  type PeerStatus,
  type StoreState,
  noStamp,
  ownId,
} from '../state/state.js';
import { withPuts, rangeDigests, keysInRange, isNewerStamp, isSameStamp } from '../state/table.js';

type StoreTransition = Transition<StoreState, StoreEffect>;
const statusIntervalMs = 300;
/** How long a write to this disk may take before the disk counts as one that takes none. */
const stalledDiskMs = 1000;
const resyncBatchCharacters = 1024 * 1024;
const resyncRangesPerReply = 8;
/** How long a spare may make no progress before the next one has its turn. */
const resyncTurnMs = 4000;
/** How long a store out of sync may be silent before it gives up its place in the metadata. */
const removeAfterMs = 10_000;

const startBackupWrite = (
  state: StoreState,
  backupWrite: Omit<BackupWrite, 'id'>,
  wipe: boolean,
): StoreTransition => {
  const own: BackupWrite = { ...backupWrite, id: state.nextWriteId };
  const sets = own.puts.flatMap(({ key, data }) =>
    data === null ? [] : [{ key, data, stamp: own.stamps.get(key) ?? own.stamp }],
  );
  const drops = own.puts.flatMap(({ key, data }) => (data === null ? [key] : []));
  return transition(
    { ...state, backupWrite: own, nextWriteId: state.nextWriteId + 1 },
    {
      kind: 'writeToDisk',
      write: {
        id: own.id,
        metadata: own.metadata,
        stamp: own.stamp,
        entries: sets,
        deletedKeys: drops,
        wipesFirst: wipe || state.mustWipe,
      },
    },
  );
};

const acknowledgement = (
  state: StoreState,
  backupWrite: Pick<BackupWrite, 'to' | 'metadata' | 'stamp'>,
  ok: boolean,
  text: string,
): StoreEffect =>
  send(backupWrite.to, {
    kind: 'replicated',
    node: ownId(state),
    epoch: backupWrite.stamp.epoch,
    seq: backupWrite.stamp.seq,
    metadataEpoch: backupWrite.metadata.epoch,
    ok,
    text,
  });

/** Takes note of a primary: of its being there, and of whether it counts this store in. */
const notePrimary = (state: StoreState, metadata: ClusterMetadata, now: Timestamp): StoreState => {
  if (
    state.metadata === undefined ||
    metadata.fleet !== state.metadata.fleet ||
    metadata.epoch < state.metadata.epoch
  )
    return state;
  const out = !metadata.inSyncSet.includes(ownId(state)) && metadata.epoch > state.excludedAtEpoch;
  return {
    ...state,
    primaryHeardAt: now,
    excludedAtEpoch: out ? metadata.epoch : state.excludedAtEpoch,
  };
};

/** Keeps a write that came while another one is on its way to the disk: a learner would have a gap else. */
const queueReplication = (
  state: StoreState,
  from: Peer,
  write: FrameOf<'replicate'>,
): StoreState => {
  const isKnown = state.replicationQueue.some(
    (one) =>
      isSameStamp(one.word.stamp, write.stamp) && one.word.metadata.epoch === write.metadata.epoch,
  );
  return isKnown || state.replicationQueue.length >= maxQueuedReplications
    ? state
    : { ...state, replicationQueue: [...state.replicationQueue, { from, word: write }] };
};

/** Takes the next write that waits, if there is one. */
const continueReplication = (state: StoreState, now: Timestamp): StoreTransition => {
  const [next, ...rest] = state.replicationQueue;
  if (next === undefined || state.backupWrite !== undefined) return transition(state);
  const taken = onReplicate({ ...state, replicationQueue: rest }, next.from, next.word, now);
  return prependEffects(taken.effects, continueReplication(taken.state, now));
};

/** The primary copies a write here. */
export const onReplicate = (
  before: StoreState,
  from: Peer,
  write: FrameOf<'replicate'>,
  now: Timestamp,
): StoreTransition => {
  const metadata = before.metadata;
  if (metadata === undefined || metadata.fleet !== write.metadata.fleet) return transition(before);
  const wanted = { to: from.address, metadata: write.metadata, stamp: write.stamp };
  if (write.metadata.epoch < metadata.epoch || write.metadata.epoch < heldEpoch(before.candidate))
    return transition(before, acknowledgement(before, wanted, false, 'an older epoch'));
  const state = notePrimary(before, write.metadata, now);
  if (isSameStamp(state.stamp, write.stamp) && metadata.epoch === write.metadata.epoch)
    return transition(state, acknowledgement(state, wanted, true, ''));
  if (state.backupWrite !== undefined) return transition(queueReplication(state, from, write));
  if (state.primaryWrite !== undefined) return transition(state);
  const required = write.metadata.inSyncSet.includes(ownId(state));
  // It may have the write itself already, from before the in-sync set changed.
  const next = isSameStamp(state.stamp, write.prior) || isSameStamp(state.stamp, write.stamp);
  if (!next)
    return transition(state, ...(required ? [acknowledgement(state, wanted, false, 'a gap')] : []));
  return startBackupWrite(
    state,
    {
      startedAt: now,
      purpose: 'replicated',
      ...wanted,
      puts: write.puts,
      stamps: new Map(),
      callId: undefined,
    },
    false,
  );
};

/** A mend or a copy lasts on this disk. */
export const onBackupWriteSynced = (
  state: StoreState,
  writeId: number,
  now: Timestamp,
): StoreTransition => {
  const backupWrite = state.backupWrite;
  if (backupWrite?.id !== writeId) return transition(state);
  const base: StoreState = {
    ...state,
    backupWrite: undefined,
    mustWipe: false,
    diskFullAt: undefined,
    standDownUntil: clockOrigin,
    metadata: backupWrite.metadata,
    diskDamage: '',
    phase: state.phase === 'empty' ? 'member' : state.phase,
  };
  if (backupWrite.purpose === 'bootstrapped') {
    const told =
      backupWrite.callId === undefined
        ? []
        : [
            send(backupWrite.to, {
              kind: 'bootstrapped' as const,
              id: backupWrite.callId,
              node: ownId(state),
              ok: true,
              text: '',
            }),
          ];
    return transition(
      { ...base, stamp: backupWrite.stamp },
      log('info', 'this store belongs to a fleet now', ['fleet', backupWrite.metadata.fleet]),
      ...told,
    );
  }
  let table = state.table;
  if (backupWrite.stamps.size === 0) table = withPuts(table, backupWrite.puts, backupWrite.stamp);
  else
    for (const one of backupWrite.puts)
      table = withPuts(table, [one], backupWrite.stamps.get(one.key) ?? backupWrite.stamp);
  const next: StoreState = {
    ...base,
    table,
    control: applyPuts(state.control, backupWrite.puts),
    stamp: backupWrite.stamp,
  };
  const resumed =
    backupWrite.purpose === 'replicated'
      ? transition(next, acknowledgement(state, backupWrite, true, ''))
      : continueResync(next, now);
  return prependEffects(resumed.effects, continueReplication(resumed.state, now));
};

export const onBackupWriteFailed = (
  state: StoreState,
  writeId: number,
  reason: string,
  isDiskFull: boolean,
  now: Timestamp,
): StoreTransition => {
  const backupWrite = state.backupWrite;
  if (backupWrite?.id !== writeId) return transition(state);
  const next: StoreState = {
    ...state,
    backupWrite: undefined,
    resyncQueue: [],
    replicationQueue: [],
    diskFullAt: isDiskFull ? now : state.diskFullAt,
  };
  if (backupWrite.purpose === 'replicated')
    return transition(next, acknowledgement(state, backupWrite, false, reason));
  if (backupWrite.purpose === 'bootstrapped' && backupWrite.callId !== undefined) {
    return transition(
      next,
      send(backupWrite.to, {
        kind: 'bootstrapped',
        id: backupWrite.callId,
        node: ownId(state),
        ok: false,
        text: reason,
      }),
    );
  }
  return transition(next, log('error', 'the disk refused a mend', ['why', reason]));
};

/** Who is told where this store stands: everyone by the primary and while there is none, else those whom it concerns. */
const statusTargets = (
  state: StoreState,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number]['address'][] => {
  const leader = isPrimary(state, now)
    ? undefined
    : [...state.peers.values()].find((one) => one.isPrimary && now - one.at < primaryTimeoutMs);
  if (leader !== undefined) {
    const peers =
      state.metadata?.stores.filter(
        (one) =>
          one.node !== ownId(state) &&
          inSync(state) &&
          state.metadata?.inSyncSet.includes(one.node),
      ) ?? [];
    return [...new Set([leader.address, ...peers.map((one) => one.address)])];
  }
  const known =
    state.metadata?.stores.filter((one) => one.node !== ownId(state)).map((one) => one.address) ??
    [];
  const near = state.session.members
    .filter((one) => one.role === 'store' && one.node !== ownId(state))
    .map((one) => one.address);
  return [...new Set([...known, ...near])];
};

/** Tells the other stores where this one stands; a store out of sync is mended by the answer. */
export const sendStatus = (state: StoreState, now: Timestamp): StoreTransition => {
  if (
    now - state.statusSentAt < statusIntervalMs ||
    state.phase === 'reading' ||
    state.phase === 'stopping'
  )
    return transition(state);
  const primary = isPrimary(state, now);
  const away =
    !primary &&
    !inSync(state) &&
    state.backupWrite === undefined &&
    state.primaryWrite === undefined;
  const word: FrameOf<'replica-status'> = {
    kind: 'replica-status',
    node: ownId(state),
    stamp: state.stamp,
    primary,
    full:
      state.diskFullAt !== undefined ||
      state.primaryWrite?.phase === 'orphan' ||
      (state.backupWrite !== undefined && now - state.backupWrite.startedAt > stalledDiskMs),
    ...(state.stopping === undefined ? {} : { leaving: true }),
    at: now,
    digests: away ? rangeDigests(state.table) : [],
    ...(state.metadata === undefined ? {} : { metadata: state.metadata }),
  };
  return transition(
    { ...state, statusSentAt: now },
    ...statusTargets(state, now).map((to) => send(to, word)),
  );
};

/** The stores of the metadata with one that is taken in: who is out of sync and long silent gives its place. */
const storesWithLearner = (
  state: StoreState,
  from: Peer,
  metadata: ClusterMetadata,
  now: Timestamp,
): ClusterMetadata['stores'] => [
  ...metadata.stores.filter(
    (one) =>
      one.node !== from.node &&
      (metadata.inSyncSet.includes(one.node) ||
        now - (state.peers.get(one.node)?.at ?? state.startedAt) < removeAfterMs),
  ),
  { node: from.node, address: from.address },
];

/** Which of some spares is mended first: one with room, in an area that has no copy, with a place in the metadata. */
const bestLearner = (
  state: StoreState,
  metadata: ClusterMetadata,
  spares: readonly PeerStatus[],
): NodeId | undefined => {
  const areas = new Set(metadata.inSyncSet.map((one) => zoneOf(state, one)));
  const cost = (one: PeerStatus): number =>
    (one.isDiskFull ? 4 : 0) +
    (areas.has(zoneOf(state, one.node)) ? 2 : 0) +
    (metadata.stores.some((row) => row.node === one.node) ? 0 : 1);
  return [...spares].sort((one, two) => cost(one) - cost(two) || (one.node < two.node ? -1 : 1))[0]
    ?.node;
};

/** Chooses the one spare that is mended now. */
const pickLearner = (state: StoreState, metadata: ClusterMetadata, now: Timestamp): StoreState => {
  const spares = [...state.peers.values()].filter(
    (one) =>
      !metadata.inSyncSet.includes(one.node) &&
      !one.isPrimary &&
      now - one.at < peerTimeoutMs &&
      (one.metadata === undefined || one.metadata.fleet === metadata.fleet),
  );
  const current = state.activeResync;
  const here = current !== undefined && spares.some((one) => one.node === current.node);
  if (here && now - current.since < resyncTurnMs) return state;
  const tried = here ? new Set([...state.resyncAttempted, current.node]) : state.resyncAttempted;
  const left = spares.filter((one) => !tried.has(one.node));
  const node = bestLearner(state, metadata, left.length > 0 ? left : spares);
  return {
    ...state,
    resyncAttempted: left.length > 0 ? tried : new Set(),
    activeResync: node === undefined ? undefined : { node, since: now },
  };
};

/** When a peer last came closer to the primary's state: its stamp or digests changed, or it is back. */
const lastProgressAt = (
  before: PeerStatus | undefined,
  status: FrameOf<'replica-status'>,
  now: Timestamp,
): Timestamp => {
  if (before === undefined || now - before.at >= peerTimeoutMs) return now;
  const moved =
    !isSameStamp(before.stamp, status.stamp) ||
    before.isDiskFull !== status.full ||
    (status.digests.length > 0 &&
      status.digests.some((one, range) => one !== before.digests[range]));
  return moved ? now : before.progressAt;
};

const notePeerStatus = (
  state: StoreState,
  from: Peer,
  status: FrameOf<'replica-status'>,
  now: Timestamp,
): StoreState => {
  const before = state.peers.get(status.node);
  const row: PeerStatus = {
    node: status.node,
    address: from.address,
    metadata: status.metadata,
    stamp: status.stamp,
    isPrimary: status.primary,
    isDiskFull: status.full,
    isStopping: status.leaving === true,
    at: now,
    digests: status.digests.length > 0 ? status.digests : (before?.digests ?? []),
    progressAt: lastProgressAt(before, status, now),
  };
  const led =
    status.primary && status.metadata !== undefined
      ? notePrimary(state, status.metadata, now)
      : state;
  const left = !status.primary && before?.isPrimary === true;
  return {
    ...led,
    primaryHeardAt: left ? toTimestamp(now - primaryTimeoutMs) : led.primaryHeardAt,
    peers: new Map([...state.peers, [status.node, row]]),
  };
};

/** A peer tells where it stands. */
export const onPeerStatus = (
  state: StoreState,
  from: Peer,
  status: FrameOf<'replica-status'>,
  now: Timestamp,
): StoreTransition => {
  const noted = notePeerStatus(state, from, status, now);
  const metadata = state.metadata;
  if (metadata === undefined || !isPrimary(state, now)) return transition(noted);
  if (status.metadata !== undefined && status.metadata.fleet !== metadata.fleet)
    return transition(noted);
  // A store that counts as in sync and says that it holds nothing has lost its disk: it is replaced at once, and then mended.
  if (metadata.inSyncSet.includes(status.node) && status.metadata === undefined)
    return replaceBackups(noted, [status.node], now);
  if (metadata.inSyncSet.includes(status.node) || status.digests.length === 0)
    return transition(noted);
  if (isFollowing(state, status.stamp) && !mayPromote(noted, status.node, now))
    return transition(endResyncOf(noted, status.node));
  return resyncLearner(pickLearner(noted, metadata, now), from, status, metadata, now);
};

/** A spare that has caught up leaves its turn to the next. */
const endResyncOf = (state: StoreState, node: NodeId): StoreState =>
  state.activeResync?.node === node ? { ...state, activeResync: undefined } : state;

/** Whether a store with this stamp has the last confirmed write, or the one that is open. */
const isFollowing = (state: StoreState, stamp: LogPosition): boolean =>
  isSameStamp(stamp, state.stamp) ||
  (state.primaryWrite !== undefined && isSameStamp(stamp, state.primaryWrite.stamp));

/** Whether a store helps where copies are lacking, and no write is open that would have to wait for it. */
const mayPromote = (state: StoreState, node: NodeId, now: Timestamp): boolean =>
  state.primaryWrite === undefined &&
  state.peers.get(node)?.isStopping !== true &&
  chooseReplicas(state, reachableInSync(state, now), [node]).includes(node);

/** Takes a spare that is equal to this store into the in-sync set. */
const promoteLearner = (
  state: StoreState,
  from: Peer,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  const stayed = [...reachableInSync(state, now), from.node];
  const set = hasEnoughReplicas(state, stayed)
    ? stayed
    : [...reachableInSync(state, now, true), from.node];
  const next: StoreState = {
    ...state,
    metadata: metadata,
    activeResync: undefined,
    resyncAttempted: new Set(),
  };
  return prependEffects(
    [log('info', 'a spare is mended', ['store', from.node])],
    requestInSyncSet(next, set, now),
  );
};

/** Mends the spare whose turn it is, or takes it in once it is equal; all have their turn while copies are lacking. */
const resyncLearner = (
  state: StoreState,
  from: Peer,
  status: FrameOf<'replica-status'>,
  metadata: ClusterMetadata,
  now: Timestamp,
): StoreTransition => {
  if (state.activeResync?.node !== status.node && state.shortageSince === undefined)
    return transition(state);
  const mine = rangeDigests(state.table);
  const unlike = mine.flatMap((one, range) => (one === status.digests[range] ? [] : [range]));
  const shown: ClusterMetadata = {
    ...metadata,
    stores: storesWithLearner(state, from, metadata, now),
  };
  if (unlike.length > 0) {
    return transition(
      state,
      ...unlike.slice(0, resyncRangesPerReply).map((range) =>
        send(from.address, {
          kind: 'range-listing' as const,
          epoch: metadata.epoch,
          stamp: state.stamp,
          range,
          keys: keysInRange(state.table, range),
        }),
      ),
    );
  }
  if (!isSameStamp(status.stamp, state.stamp) || status.metadata?.epoch !== metadata.epoch) {
    return transition(
      state,
      send(from.address, {
        kind: 'resync-entries',
        epoch: metadata.epoch,
        metadata: shown,
        settled: { stamp: state.stamp, digests: mine },
        entries: [],
      }),
      ...replicateOpenWrite(state, from.address),
    );
  }
  // Equal to the last entry and stamp, and nothing is being written: it is in sync from the next epoch on.
  return mayPromote(state, status.node, now)
    ? promoteLearner(state, from, shown, now)
    : transition(state);
};

/** Whether a store may be mended by the holder of this epoch. */
const acceptsResync = (state: StoreState, epoch: number): boolean =>
  !inSync(state) &&
  state.primaryWrite === undefined &&
  epoch >= Math.max(state.metadata?.epoch ?? 0, state.excludedAtEpoch);

/** The primary lists a range that is unlike: what is wrong here is dropped, what is lacking is fetched. */
export const onRangeListing = (
  state: StoreState,
  from: Peer,
  listing: FrameOf<'range-listing'>,
  now: Timestamp,
): StoreTransition => {
  if (!acceptsResync(state, listing.epoch)) return transition(state);
  // What came here since the listing was made is not in it.
  if (isNewerStamp(state.stamp, listing.stamp)) return transition(state);
  const listed = new Map(listing.keys.map((one) => [one.key, one.stamp]));
  const lacking = listing.keys.filter((one) => {
    const mine = state.table.get(one.key);
    return mine === undefined || !isSameStamp(mine.stamp, one.stamp);
  });
  const extra = keysInRange(state.table, listing.range).filter((one) => !listed.has(one.key));
  const fetch: readonly StoreEffect[] =
    lacking.length === 0
      ? []
      : [
          send(from.address, {
            kind: 'fetch-entries',
            node: ownId(state),
            epoch: listing.epoch,
            keys: lacking.map((one) => one.key),
          }),
        ];
  if (extra.length === 0 || state.metadata === undefined || state.backupWrite !== undefined)
    return transition(state, ...fetch);
  const puts: readonly TableMutation[] = extra.map((one) => ({ key: one.key, data: null }));
  return prependEffects(
    fetch,
    startBackupWrite(
      state,
      {
        startedAt: now,
        purpose: 'resynced',
        to: from.address,
        metadata: state.metadata,
        stamp: noStamp,
        puts,
        stamps: new Map(),
        callId: undefined,
      },
      false,
    ),
  );
};

export const onFetchEntries = (
  state: StoreState,
  from: Peer,
  request: FrameOf<'fetch-entries'>,
  now: Timestamp,
): StoreTransition => {
  const metadata = state.metadata;
  if (metadata === undefined || !isPrimary(state, now) || request.epoch !== metadata.epoch)
    return transition(state);
  const entries: FrameOf<'resync-entries'>['entries'] = [];
  let size = 0;
  for (const key of request.keys) {
    const entry = state.table.get(key);
    if (entry === undefined) continue;
    entries.push({ key, ...entry });
    size += entry.data.length;
    if (size > resyncBatchCharacters) break;
  }
  const mending =
    state.activeResync?.node === request.node
      ? { node: request.node, since: now }
      : state.activeResync;
  return transition(
    { ...state, activeResync: mending },
    send(from.address, { kind: 'resync-entries', epoch: metadata.epoch, metadata, entries }),
  );
};

const maxQueuedResyncs = 64;
const maxQueuedReplications = 16;

const digestsMatch = (state: StoreState, otherDigests: readonly string[]): boolean => {
  const mine = rangeDigests(state.table);
  return (
    mine.length === otherDigests.length && mine.every((one, range) => one === otherDigests[range])
  );
};

/** Entries from the primary: they replace what is here, one write after another. */
export const onResyncEntries = (
  state: StoreState,
  from: Peer,
  batch: FrameOf<'resync-entries'>,
  now: Timestamp,
): StoreTransition => {
  if (state.backupWrite !== undefined)
    return transition(
      state.resyncQueue.length < maxQueuedResyncs
        ? { ...state, resyncQueue: [...state.resyncQueue, { from, word: batch }] }
        : state,
    );
  if (!acceptsResync(state, batch.epoch) || batch.metadata.inSyncSet.includes(ownId(state)))
    return transition(state);
  if (state.metadata !== undefined && state.metadata.fleet !== batch.metadata.fleet)
    return transition(state);
  const stamps = new Map(batch.entries.map((one) => [one.key, one.stamp]));
  const puts = batch.entries.map((one) => ({ key: one.key, data: one.data }));
  // What was equal when the primary compared may have changed since.
  if (batch.settled !== undefined && !digestsMatch(state, batch.settled.digests))
    return transition(state);
  // Until it is settled, this store has no stamp: no write can follow, and it does not stand.
  const stamp = batch.settled?.stamp ?? noStamp;
  return startBackupWrite(
    state,
    {
      startedAt: now,
      purpose: 'resynced',
      to: from.address,
      metadata: batch.metadata,
      stamp,
      puts,
      stamps,
      callId: undefined,
    },
    false,
  );
};

/** After a mend was written the next one is, or the primary is asked at once what is still unlike. */
const continueResync = (state: StoreState, now: Timestamp): StoreTransition => {
  const [next, ...rest] = state.resyncQueue;
  if (next !== undefined)
    return onResyncEntries({ ...state, resyncQueue: rest }, next.from, next.word, now);
  return sendStatus({ ...state, statusSentAt: clockOrigin }, now);
};

/** An operator founds a fleet on this store and its peer. */
export const onBootstrap = (
  state: StoreState,
  from: Peer,
  proposal: FrameOf<'bootstrap'>,
  now: Timestamp,
): StoreTransition => {
  const answer = (ok: boolean, text: string): StoreEffect =>
    send(from.address, { kind: 'bootstrapped', id: proposal.id, node: ownId(state), ok, text });
  const known = state.metadata;
  if (known?.fleet === proposal.fleet) return transition(state, answer(true, ''));
  if (known !== undefined && known.epoch > 0)
    return transition(state, answer(false, `belongs to the fleet ${known.fleet}`));
  if (!state.mayBootstrap)
    return transition(state, answer(false, 'no fleet is founded on this store'));
  if (state.phase === 'reading' || state.backupWrite !== undefined)
    return transition(state, answer(false, 'busy; found again'));
  const metadata: ClusterMetadata = {
    fleet: proposal.fleet,
    epoch: noEpoch,
    inSyncSet: proposal.stores.map((one) => one.node),
    stores: proposal.stores,
    electorate: proposal.electorate,
  };
  return startBackupWrite(
    state,
    {
      startedAt: now,
      purpose: 'bootstrapped',
      to: from.address,
      metadata,
      stamp: { epoch: metadata.epoch, seq: nextSeq(noSeq) },
      puts: [],
      stamps: new Map(),
      callId: proposal.id,
    },
    true,
  );
};
