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
  type Put,
  type Stamp,
  log,
  send,
} from '@switchwheel/transport';
import { heldEpoch } from '@switchwheel/election';
import { absorbAll } from '@switchwheel/configuration';
import { inSync, reachableInSync, isPrimary, primaryTimeout } from '../leadership/candidacy.js';
import { areaOf, chooseCopies, hasEnoughCopies, peerTimeout } from '../leadership/copies.js';
import { replicateOpenWrite } from '../primary-write/primary-write.js';
import { replaceBackups, requestInSyncSet } from '../primary-write/replacement.js';
import type { StoreEffect } from '../state/event.js';
import { type BackupWrite, type PeerStatus, type Store, noStamp, ownId } from '../state/state.js';
import { apply, digests, inRange, newerStamp, sameStamp } from '../table/table.js';

type Done = Transition<Store, StoreEffect>;
const statusInterval = 300;
/** How long a write to this disk may take before the disk counts as one that takes none. */
const stalledAfter = 1000;
const resyncBatchBytes = 1024 * 1024;
const resyncRangesPerReply = 8;
/** How long a spare may make no progress before the next one has its turn. */
const resyncTurn = 4000;
/** How long a store out of sync may be silent before it gives up its place in the metadata. */
const removeAfter = 10_000;

const startBackupWrite = (
  state: Store,
  backupWrite: Omit<BackupWrite, 'id'>,
  wipe: boolean,
): Done => {
  const own: BackupWrite = { ...backupWrite, id: state.nextId };
  const sets = own.puts.flatMap(({ key, data }) =>
    data === null ? [] : [{ key, data, stamp: own.stamps.get(key) ?? own.stamp }],
  );
  const drops = own.puts.flatMap(({ key, data }) => (data === null ? [key] : []));
  return transition(
    { ...state, backupWrite: own, nextId: state.nextId + 1 },
    {
      kind: 'sync',
      write: {
        id: own.id,
        metadata: own.metadata,
        stamp: own.stamp,
        sets,
        drops,
        wipe: wipe || state.mustWipe,
      },
    },
  );
};

const replicatedFrame = (
  state: Store,
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
const notePrimary = (state: Store, metadata: ClusterMetadata, now: Timestamp): Store => {
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
const queueReplicate = (state: Store, from: Peer, word: FrameOf<'replicate'>): Store => {
  const isKnown = state.replicateQueue.some(
    (one) =>
      sameStamp(one.word.stamp, word.stamp) && one.word.metadata.epoch === word.metadata.epoch,
  );
  return isKnown || state.replicateQueue.length >= maxQueuedReplicates
    ? state
    : { ...state, replicateQueue: [...state.replicateQueue, { from, word }] };
};

/** Takes the next write that waits, if there is one. */
const continueReplication = (state: Store, now: Timestamp): Done => {
  const [next, ...rest] = state.replicateQueue;
  if (next === undefined || state.backupWrite !== undefined) return transition(state);
  const taken = onReplicate({ ...state, replicateQueue: rest }, next.from, next.word, now);
  return prependEffects(taken.effects, continueReplication(taken.state, now));
};

/** The primary copies a write here. */
export const onReplicate = (
  before: Store,
  from: Peer,
  word: FrameOf<'replicate'>,
  now: Timestamp,
): Done => {
  const metadata = before.metadata;
  if (metadata === undefined || metadata.fleet !== word.metadata.fleet) return transition(before);
  const wanted = { to: from.address, metadata: word.metadata, stamp: word.stamp };
  if (word.metadata.epoch < metadata.epoch || word.metadata.epoch < heldEpoch(before.candidate))
    return transition(before, replicatedFrame(before, wanted, false, 'an older epoch'));
  const state = notePrimary(before, word.metadata, now);
  if (sameStamp(state.stamp, word.stamp) && metadata.epoch === word.metadata.epoch)
    return transition(state, replicatedFrame(state, wanted, true, ''));
  if (state.backupWrite !== undefined) return transition(queueReplicate(state, from, word));
  if (state.primaryWrite !== undefined) return transition(state);
  const required = word.metadata.inSyncSet.includes(ownId(state));
  // It may have the write itself already, from before the in-sync set changed.
  const next = sameStamp(state.stamp, word.prior) || sameStamp(state.stamp, word.stamp);
  if (!next)
    return transition(state, ...(required ? [replicatedFrame(state, wanted, false, 'a gap')] : []));
  return startBackupWrite(
    state,
    {
      since: now,
      after: 'replicated',
      ...wanted,
      puts: word.puts,
      stamps: new Map(),
      call: undefined,
    },
    false,
  );
};

/** A mend or a copy lasts on this disk. */
export const onBackupWriteSynced = (state: Store, id: number, now: Timestamp): Done => {
  const backupWrite = state.backupWrite;
  if (backupWrite?.id !== id) return transition(state);
  const base: Store = {
    ...state,
    backupWrite: undefined,
    mustWipe: false,
    diskFull: undefined,
    standDownUntil: clockOrigin,
    metadata: backupWrite.metadata,
    trouble: '',
    phase: state.phase === 'empty' ? 'member' : state.phase,
  };
  if (backupWrite.after === 'bootstrapped') {
    const told =
      backupWrite.call === undefined
        ? []
        : [
            send(backupWrite.to, {
              kind: 'bootstrapped' as const,
              id: backupWrite.call,
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
  if (backupWrite.stamps.size === 0) table = apply(table, backupWrite.puts, backupWrite.stamp);
  else
    for (const one of backupWrite.puts)
      table = apply(table, [one], backupWrite.stamps.get(one.key) ?? backupWrite.stamp);
  const next: Store = {
    ...base,
    table,
    control: absorbAll(state.control, backupWrite.puts),
    stamp: backupWrite.stamp,
  };
  const resumed =
    backupWrite.after === 'replicated'
      ? transition(next, replicatedFrame(state, backupWrite, true, ''))
      : continueResync(next, now);
  return prependEffects(resumed.effects, continueReplication(resumed.state, now));
};

export const onBackupWriteFailed = (
  state: Store,
  id: number,
  text: string,
  full: boolean,
  now: Timestamp,
): Done => {
  const backupWrite = state.backupWrite;
  if (backupWrite?.id !== id) return transition(state);
  const next: Store = {
    ...state,
    backupWrite: undefined,
    resyncQueue: [],
    replicateQueue: [],
    diskFull: full ? now : state.diskFull,
  };
  if (backupWrite.after === 'replicated')
    return transition(next, replicatedFrame(state, backupWrite, false, text));
  if (backupWrite.after === 'bootstrapped' && backupWrite.call !== undefined) {
    return transition(
      next,
      send(backupWrite.to, {
        kind: 'bootstrapped',
        id: backupWrite.call,
        node: ownId(state),
        ok: false,
        text,
      }),
    );
  }
  return transition(next, log('error', 'the disk refused a mend', ['why', text]));
};

/** Who is told where this store stands: everyone by the primary and while there is none, else those whom it concerns. */
const statusTargets = (
  state: Store,
  now: Timestamp,
): readonly ClusterMetadata['stores'][number]['address'][] => {
  const leader = isPrimary(state, now)
    ? undefined
    : [...state.peers.values()].find((one) => one.primary && now - one.at < primaryTimeout);
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
export const sendStatus = (state: Store, now: Timestamp): Done => {
  if (
    now - state.statusSentAt < statusInterval ||
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
      state.diskFull !== undefined ||
      state.primaryWrite?.phase === 'orphan' ||
      (state.backupWrite !== undefined && now - state.backupWrite.since > stalledAfter),
    ...(state.leaving === undefined ? {} : { leaving: true }),
    at: now,
    digests: away ? digests(state.table) : [],
    ...(state.metadata === undefined ? {} : { metadata: state.metadata }),
  };
  return transition(
    { ...state, statusSentAt: now },
    ...statusTargets(state, now).map((to) => send(to, word)),
  );
};

/** The stores of the metadata with one that is taken in: who is out of sync and long silent gives its place. */
const withStore = (
  state: Store,
  from: Peer,
  metadata: ClusterMetadata,
  now: Timestamp,
): ClusterMetadata['stores'] => [
  ...metadata.stores.filter(
    (one) =>
      one.node !== from.node &&
      (metadata.inSyncSet.includes(one.node) ||
        now - (state.peers.get(one.node)?.at ?? state.startedAt) < removeAfter),
  ),
  { node: from.node, address: from.address },
];

/** Which of some spares is mended first: one with room, in an area that has no copy, with a place in the metadata. */
const bestSpare = (
  state: Store,
  metadata: ClusterMetadata,
  spares: readonly PeerStatus[],
): NodeId | undefined => {
  const areas = new Set(metadata.inSyncSet.map((one) => areaOf(state, one)));
  const cost = (one: PeerStatus): number =>
    (one.full ? 4 : 0) +
    (areas.has(areaOf(state, one.node)) ? 2 : 0) +
    (metadata.stores.some((row) => row.node === one.node) ? 0 : 1);
  return [...spares].sort((one, two) => cost(one) - cost(two) || (one.node < two.node ? -1 : 1))[0]
    ?.node;
};

/** Chooses the one spare that is mended now. */
const pickSpare = (state: Store, metadata: ClusterMetadata, now: Timestamp): Store => {
  const spares = [...state.peers.values()].filter(
    (one) =>
      !metadata.inSyncSet.includes(one.node) &&
      !one.primary &&
      now - one.at < peerTimeout &&
      (one.metadata === undefined || one.metadata.fleet === metadata.fleet),
  );
  const current = state.resyncing;
  const here = current !== undefined && spares.some((one) => one.node === current.node);
  if (here && now - current.since < resyncTurn) return state;
  const tried = here ? new Set([...state.resyncTried, current.node]) : state.resyncTried;
  const left = spares.filter((one) => !tried.has(one.node));
  const node = bestSpare(state, metadata, left.length > 0 ? left : spares);
  return {
    ...state,
    resyncTried: left.length > 0 ? tried : new Set(),
    resyncing: node === undefined ? undefined : { node, since: now },
  };
};

/** When a peer last came closer to the primary's state: its stamp or digests changed, or it is back. */
const progressOf = (
  before: PeerStatus | undefined,
  word: FrameOf<'replica-status'>,
  now: Timestamp,
): Timestamp => {
  if (before === undefined || now - before.at >= peerTimeout) return now;
  const moved =
    !sameStamp(before.stamp, word.stamp) ||
    before.full !== word.full ||
    (word.digests.length > 0 && word.digests.some((one, range) => one !== before.digests[range]));
  return moved ? now : before.progressAt;
};

const notePeer = (
  state: Store,
  from: Peer,
  word: FrameOf<'replica-status'>,
  now: Timestamp,
): Store => {
  const before = state.peers.get(word.node);
  const row: PeerStatus = {
    node: word.node,
    address: from.address,
    metadata: word.metadata,
    stamp: word.stamp,
    primary: word.primary,
    full: word.full,
    leaving: word.leaving === true,
    at: now,
    digests: word.digests.length > 0 ? word.digests : (before?.digests ?? []),
    progressAt: progressOf(before, word, now),
  };
  const led =
    word.primary && word.metadata !== undefined ? notePrimary(state, word.metadata, now) : state;
  const left = !word.primary && before?.primary === true;
  return {
    ...led,
    primaryHeardAt: left ? toTimestamp(now - primaryTimeout) : led.primaryHeardAt,
    peers: new Map([...state.peers, [word.node, row]]),
  };
};

/** A peer tells where it stands. */
export const onPeerStatus = (
  state: Store,
  from: Peer,
  word: FrameOf<'replica-status'>,
  now: Timestamp,
): Done => {
  const noted = notePeer(state, from, word, now);
  const metadata = state.metadata;
  if (metadata === undefined || !isPrimary(state, now)) return transition(noted);
  if (word.metadata !== undefined && word.metadata.fleet !== metadata.fleet)
    return transition(noted);
  // A store that counts as in sync and says that it holds nothing has lost its disk: it is replaced at once, and then mended.
  if (metadata.inSyncSet.includes(word.node) && word.metadata === undefined)
    return replaceBackups(noted, [word.node], now);
  if (metadata.inSyncSet.includes(word.node) || word.digests.length === 0) return transition(noted);
  if (isFollowing(state, word.stamp) && !mayTakeIn(noted, word.node, now))
    return transition(endResyncOf(noted, word.node));
  return resyncSpare(pickSpare(noted, metadata, now), from, word, metadata, now);
};

/** A spare that has caught up leaves its turn to the next. */
const endResyncOf = (state: Store, node: NodeId): Store =>
  state.resyncing?.node === node ? { ...state, resyncing: undefined } : state;

/** Whether a store with this stamp has the last confirmed write, or the one that is open. */
const isFollowing = (state: Store, stamp: Stamp): boolean =>
  sameStamp(stamp, state.stamp) ||
  (state.primaryWrite !== undefined && sameStamp(stamp, state.primaryWrite.stamp));

/** Whether a store helps where copies are lacking, and no write is open that would have to wait for it. */
const mayTakeIn = (state: Store, node: NodeId, now: Timestamp): boolean =>
  state.primaryWrite === undefined &&
  state.peers.get(node)?.leaving !== true &&
  chooseCopies(state, reachableInSync(state, now), [node]).includes(node);

/** Takes a spare that is equal to this store into the in-sync set. */
const takeIn = (state: Store, from: Peer, shown: ClusterMetadata, now: Timestamp): Done => {
  const stayed = [...reachableInSync(state, now), from.node];
  const set = hasEnoughCopies(state, stayed)
    ? stayed
    : [...reachableInSync(state, now, true), from.node];
  const next: Store = { ...state, metadata: shown, resyncing: undefined, resyncTried: new Set() };
  return prependEffects(
    [log('info', 'a spare is mended', ['store', from.node])],
    requestInSyncSet(next, set, now),
  );
};

/** Mends the spare whose turn it is, or takes it in once it is equal; all have their turn while copies are lacking. */
const resyncSpare = (
  state: Store,
  from: Peer,
  word: FrameOf<'replica-status'>,
  metadata: ClusterMetadata,
  now: Timestamp,
): Done => {
  if (state.resyncing?.node !== word.node && state.shortageSince === undefined)
    return transition(state);
  const mine = digests(state.table);
  const unlike = mine.flatMap((one, range) => (one === word.digests[range] ? [] : [range]));
  const shown: ClusterMetadata = { ...metadata, stores: withStore(state, from, metadata, now) };
  if (unlike.length > 0) {
    return transition(
      state,
      ...unlike.slice(0, resyncRangesPerReply).map((range) =>
        send(from.address, {
          kind: 'range-listing' as const,
          epoch: metadata.epoch,
          stamp: state.stamp,
          range,
          keys: inRange(state.table, range),
        }),
      ),
    );
  }
  if (!sameStamp(word.stamp, state.stamp) || word.metadata?.epoch !== metadata.epoch) {
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
  return mayTakeIn(state, word.node, now) ? takeIn(state, from, shown, now) : transition(state);
};

/** Whether a store may be mended by the holder of this epoch. */
const acceptsResync = (state: Store, epoch: number): boolean =>
  !inSync(state) &&
  state.primaryWrite === undefined &&
  epoch >= Math.max(state.metadata?.epoch ?? 0, state.excludedAtEpoch);

/** The primary lists a range that is unlike: what is wrong here is dropped, what is lacking is fetched. */
export const onRangeListing = (
  state: Store,
  from: Peer,
  word: FrameOf<'range-listing'>,
  now: Timestamp,
): Done => {
  if (!acceptsResync(state, word.epoch)) return transition(state);
  // What came here since the listing was made is not in it.
  if (newerStamp(state.stamp, word.stamp)) return transition(state);
  const listed = new Map(word.keys.map((one) => [one.key, one.stamp]));
  const lacking = word.keys.filter((one) => {
    const mine = state.table.get(one.key);
    return mine === undefined || !sameStamp(mine.stamp, one.stamp);
  });
  const extra = inRange(state.table, word.range).filter((one) => !listed.has(one.key));
  const fetch: readonly StoreEffect[] =
    lacking.length === 0
      ? []
      : [
          send(from.address, {
            kind: 'fetch-entries',
            node: ownId(state),
            epoch: word.epoch,
            keys: lacking.map((one) => one.key),
          }),
        ];
  if (extra.length === 0 || state.metadata === undefined || state.backupWrite !== undefined)
    return transition(state, ...fetch);
  const puts: readonly Put[] = extra.map((one) => ({ key: one.key, data: null }));
  return prependEffects(
    fetch,
    startBackupWrite(
      state,
      {
        since: now,
        after: 'resynced',
        to: from.address,
        metadata: state.metadata,
        stamp: noStamp,
        puts,
        stamps: new Map(),
        call: undefined,
      },
      false,
    ),
  );
};

export const onFetchEntries = (
  state: Store,
  from: Peer,
  word: FrameOf<'fetch-entries'>,
  now: Timestamp,
): Done => {
  const metadata = state.metadata;
  if (metadata === undefined || !isPrimary(state, now) || word.epoch !== metadata.epoch)
    return transition(state);
  const entries: FrameOf<'resync-entries'>['entries'] = [];
  let size = 0;
  for (const key of word.keys) {
    const entry = state.table.get(key);
    if (entry === undefined) continue;
    entries.push({ key, ...entry });
    size += entry.data.length;
    if (size > resyncBatchBytes) break;
  }
  const mending =
    state.resyncing?.node === word.node ? { node: word.node, since: now } : state.resyncing;
  return transition(
    { ...state, resyncing: mending },
    send(from.address, { kind: 'resync-entries', epoch: metadata.epoch, metadata, entries }),
  );
};

const maxQueuedResyncs = 64;
const maxQueuedReplicates = 16;

const isEqualTo = (state: Store, theirs: readonly string[]): boolean => {
  const mine = digests(state.table);
  return mine.length === theirs.length && mine.every((one, range) => one === theirs[range]);
};

/** Entries from the primary: they replace what is here, one write after another. */
export const onResyncEntries = (
  state: Store,
  from: Peer,
  word: FrameOf<'resync-entries'>,
  now: Timestamp,
): Done => {
  if (state.backupWrite !== undefined)
    return transition(
      state.resyncQueue.length < maxQueuedResyncs
        ? { ...state, resyncQueue: [...state.resyncQueue, { from, word }] }
        : state,
    );
  if (!acceptsResync(state, word.epoch) || word.metadata.inSyncSet.includes(ownId(state)))
    return transition(state);
  if (state.metadata !== undefined && state.metadata.fleet !== word.metadata.fleet)
    return transition(state);
  const stamps = new Map(word.entries.map((one) => [one.key, one.stamp]));
  const puts = word.entries.map((one) => ({ key: one.key, data: one.data }));
  // What was equal when the primary compared may have changed since.
  if (word.settled !== undefined && !isEqualTo(state, word.settled.digests))
    return transition(state);
  // Until it is settled, this store has no stamp: no write can follow, and it does not stand.
  const stamp = word.settled?.stamp ?? noStamp;
  return startBackupWrite(
    state,
    {
      since: now,
      after: 'resynced',
      to: from.address,
      metadata: word.metadata,
      stamp,
      puts,
      stamps,
      call: undefined,
    },
    false,
  );
};

/** After a mend was written the next one is, or the primary is asked at once what is still unlike. */
const continueResync = (state: Store, now: Timestamp): Done => {
  const [next, ...rest] = state.resyncQueue;
  if (next !== undefined)
    return onResyncEntries({ ...state, resyncQueue: rest }, next.from, next.word, now);
  return sendStatus({ ...state, statusSentAt: clockOrigin }, now);
};

/** An operator founds a fleet on this store and its peer. */
export const onBootstrap = (
  state: Store,
  from: Peer,
  word: FrameOf<'bootstrap'>,
  now: Timestamp,
): Done => {
  const answer = (ok: boolean, text: string): StoreEffect =>
    send(from.address, { kind: 'bootstrapped', id: word.id, node: ownId(state), ok, text });
  const known = state.metadata;
  if (known?.fleet === word.fleet) return transition(state, answer(true, ''));
  if (known !== undefined && known.epoch > 0)
    return transition(state, answer(false, `belongs to the fleet ${known.fleet}`));
  if (!state.mayBootstrap)
    return transition(state, answer(false, 'no fleet is founded on this store'));
  if (state.phase === 'reading' || state.backupWrite !== undefined)
    return transition(state, answer(false, 'busy; found again'));
  const metadata: ClusterMetadata = {
    fleet: word.fleet,
    epoch: noEpoch,
    inSyncSet: word.stores.map((one) => one.node),
    stores: word.stores,
    electorate: word.electorate,
  };
  return startBackupWrite(
    state,
    {
      since: now,
      after: 'bootstrapped',
      to: from.address,
      metadata,
      stamp: { epoch: metadata.epoch, seq: nextSeq(noSeq) },
      puts: [],
      stamps: new Map(),
      call: word.id,
    },
    true,
  );
};
