import {
  type Moment,
  type NodeId,
  type Step,
  join,
  nextSeq,
  noEpoch,
  noSeq,
  start,
  step,
  toMoment,
} from '@switchwheel/types';
import {
  type Charter,
  type Colleague,
  type FrameOf,
  type Put,
  log,
  send,
} from '@switchwheel/transport';
import { ask, heldEpoch } from '@switchwheel/election';
import { absorbAll } from '@switchwheel/configuration';
import { areaOf, inSync, inTouch, isPrimary, poll, quietSpan } from '../duty/poll.js';
import { leaveOut } from '../job/job.js';
import type { StoreEffect } from '../state/event.js';
import { type Chore, type ColleagueWord, type Store, me } from '../state/state.js';
import { apply, digests, inRange, sameStamp } from '../table/table.js';

type Done = Step<Store, StoreEffect>;
const greetSpan = 300;
const mendBytes = 1024 * 1024;
const mendRanges = 8;
/** How long a store may be silent before it counts as gone. */
const hereSpan = 1000;
/** How long a spare may make no progress before the next one has its turn. */
const turnSpan = 4000;
/** How long a store out of sync may be silent before it gives up its place in the charter. */
const goneSpan = 10_000;

const startChore = (state: Store, chore: Omit<Chore, 'id'>, wipe: boolean): Done => {
  const own: Chore = { ...chore, id: state.nextId };
  const sets = own.puts.flatMap(({ key, data }) =>
    data === null ? [] : [{ key, data, stamp: own.stamps.get(key) ?? own.stamp }],
  );
  const drops = own.puts.flatMap(({ key, data }) => (data === null ? [key] : []));
  return step(
    { ...state, chore: own, nextId: state.nextId + 1 },
    {
      kind: 'sync',
      write: {
        id: own.id,
        charter: own.charter,
        stamp: own.stamp,
        sets,
        drops,
        wipe: wipe || state.soiled,
      },
    },
  );
};

const copied = (
  state: Store,
  chore: Pick<Chore, 'to' | 'charter' | 'stamp'>,
  ok: boolean,
  text: string,
): StoreEffect =>
  send(chore.to, {
    kind: 'copied',
    node: me(state),
    epoch: chore.stamp.epoch,
    seq: chore.stamp.seq,
    ok,
    text,
  });

/** Takes note of a primary: of its being there, and of whether it counts this store in. */
const follow = (state: Store, charter: Charter, now: Moment): Store => {
  if (
    state.charter === undefined ||
    charter.fleet !== state.charter.fleet ||
    charter.epoch < state.charter.epoch
  )
    return state;
  const out = !charter.insync.includes(me(state)) && charter.epoch > state.ousted;
  return { ...state, led: now, ousted: out ? charter.epoch : state.ousted };
};

/** The primary copies a write here. */
export const onCopy = (
  before: Store,
  from: Colleague,
  word: FrameOf<'copy'>,
  now: Moment,
): Done => {
  const charter = before.charter;
  if (charter === undefined || charter.fleet !== word.charter.fleet) return step(before);
  const wanted = { to: from.address, charter: word.charter, stamp: word.stamp };
  if (word.charter.epoch < charter.epoch || word.charter.epoch < heldEpoch(before.stand))
    return step(before, copied(before, wanted, false, 'an older epoch'));
  const state = follow(before, word.charter, now);
  if (sameStamp(state.stamp, word.stamp) && charter.epoch === word.charter.epoch)
    return step(state, copied(state, wanted, true, ''));
  if (state.chore !== undefined || state.job !== undefined) return step(state);
  const required = word.charter.insync.includes(me(state));
  // It may have the write itself already, from before the in-sync set changed.
  const next = sameStamp(state.stamp, word.prior) || sameStamp(state.stamp, word.stamp);
  if (!next) return step(state, ...(required ? [copied(state, wanted, false, 'a gap')] : []));
  return startChore(
    state,
    { since: now, after: 'copied', ...wanted, puts: word.puts, stamps: new Map(), call: undefined },
    false,
  );
};

/** A mend or a copy lasts on this disk. */
export const onChoreSynced = (state: Store, id: number, now: Moment): Done => {
  const chore = state.chore;
  if (chore?.id !== id) return step(state);
  const base: Store = {
    ...state,
    chore: undefined,
    soiled: false,
    diskFull: undefined,
    shunned: start,
    charter: chore.charter,
    trouble: '',
    phase: state.phase === 'blank' ? 'member' : state.phase,
  };
  if (chore.after === 'founded') {
    const told =
      chore.call === undefined
        ? []
        : [
            send(chore.to, {
              kind: 'founded' as const,
              id: chore.call,
              node: me(state),
              ok: true,
              text: '',
            }),
          ];
    return step(
      { ...base, stamp: chore.stamp },
      log('info', 'this store belongs to a fleet now', ['fleet', chore.charter.fleet]),
      ...told,
    );
  }
  let table = state.table;
  if (chore.stamps.size === 0) table = apply(table, chore.puts, chore.stamp);
  else
    for (const one of chore.puts)
      table = apply(table, [one], chore.stamps.get(one.key) ?? chore.stamp);
  const next: Store = {
    ...base,
    table,
    control: absorbAll(state.control, chore.puts),
    stamp: chore.stamp,
  };
  return chore.after === 'copied' ? step(next, copied(state, chore, true, '')) : goOn(next, now);
};

export const onChoreUnsynced = (
  state: Store,
  id: number,
  text: string,
  full: boolean,
  now: Moment,
): Done => {
  const chore = state.chore;
  if (chore?.id !== id) return step(state);
  const next: Store = {
    ...state,
    chore: undefined,
    mends: [],
    diskFull: full ? now : state.diskFull,
  };
  if (chore.after === 'copied') return step(next, copied(state, chore, false, text));
  if (chore.after === 'founded' && chore.call !== undefined) {
    return step(
      next,
      send(chore.to, { kind: 'founded', id: chore.call, node: me(state), ok: false, text }),
    );
  }
  return step(next, log('error', 'the disk refused a mend', ['why', text]));
};

/** Who is told where this store stands: everyone by the primary and while there is none, else those whom it concerns. */
const addresses = (state: Store, now: Moment): readonly Charter['stores'][number]['address'][] => {
  const leader = isPrimary(state, now)
    ? undefined
    : [...state.colleagues.values()].find((one) => one.primary && now - one.at < quietSpan);
  if (leader !== undefined) {
    const peers =
      state.charter?.stores.filter(
        (one) =>
          one.node !== me(state) && inSync(state) && state.charter?.insync.includes(one.node),
      ) ?? [];
    return [...new Set([leader.address, ...peers.map((one) => one.address)])];
  }
  const known =
    state.charter?.stores.filter((one) => one.node !== me(state)).map((one) => one.address) ?? [];
  const near = state.berth.members
    .filter((one) => one.role === 'store' && one.node !== me(state))
    .map((one) => one.address);
  return [...new Set([...known, ...near])];
};

/** Tells the other stores where this one stands; a store out of sync is mended by the answer. */
export const greet = (state: Store, now: Moment): Done => {
  if (now - state.greeted < greetSpan || state.phase === 'reading' || state.phase === 'stopping')
    return step(state);
  const primary = isPrimary(state, now);
  const away = !primary && !inSync(state) && state.chore === undefined && state.job === undefined;
  const word: FrameOf<'greet'> = {
    kind: 'greet',
    node: me(state),
    stamp: state.stamp,
    primary,
    full: state.diskFull !== undefined || state.job?.phase === 'orphan',
    at: now,
    digests: away ? digests(state.table) : [],
    ...(state.charter === undefined ? {} : { charter: state.charter }),
  };
  return step({ ...state, greeted: now }, ...addresses(state, now).map((to) => send(to, word)));
};

/** The stores of the charter with one that is taken in: who is out of sync and long silent gives its place. */
const placed = (
  state: Store,
  from: Colleague,
  charter: Charter,
  now: Moment,
): Charter['stores'] => [
  ...charter.stores.filter(
    (one) =>
      one.node !== from.node &&
      (charter.insync.includes(one.node) ||
        now - (state.colleagues.get(one.node)?.at ?? state.born) < goneSpan),
  ),
  { node: from.node, address: from.address },
];

/** Which of some spares is mended first: one with room, in an area that has no copy, with a place in the charter. */
const best = (
  state: Store,
  charter: Charter,
  spares: readonly ColleagueWord[],
): NodeId | undefined => {
  const areas = new Set(charter.insync.map((one) => areaOf(state, one)));
  const cost = (one: ColleagueWord): number =>
    (one.full ? 4 : 0) +
    (areas.has(areaOf(state, one.node)) ? 2 : 0) +
    (charter.stores.some((row) => row.node === one.node) ? 0 : 1);
  return [...spares].sort((one, two) => cost(one) - cost(two) || (one.node < two.node ? -1 : 1))[0]
    ?.node;
};

/** Chooses the one spare that is mended now. */
const elect = (state: Store, charter: Charter, now: Moment): Store => {
  const spares = [...state.colleagues.values()].filter(
    (one) =>
      !charter.insync.includes(one.node) &&
      !one.primary &&
      now - one.at < hereSpan &&
      (one.charter === undefined || one.charter.fleet === charter.fleet),
  );
  const current = state.mending;
  const here = current !== undefined && spares.some((one) => one.node === current.node);
  if (here && now - current.since < turnSpan) return state;
  const tried = here ? new Set([...state.tried, current.node]) : state.tried;
  const left = spares.filter((one) => !tried.has(one.node));
  const node = best(state, charter, left.length > 0 ? left : spares);
  return {
    ...state,
    tried: left.length > 0 ? tried : new Set(),
    mending: node === undefined ? undefined : { node, since: now },
  };
};

/** A colleague tells where it stands. */
export const onGreet = (
  state: Store,
  from: Colleague,
  word: FrameOf<'greet'>,
  now: Moment,
): Done => {
  const row = {
    node: word.node,
    address: from.address,
    charter: word.charter,
    stamp: word.stamp,
    primary: word.primary,
    full: word.full,
    at: now,
  };
  const led = word.primary && word.charter !== undefined ? follow(state, word.charter, now) : state;
  const left = !word.primary && state.colleagues.get(word.node)?.primary === true;
  const noted: Store = {
    ...led,
    led: left ? toMoment(now - quietSpan) : led.led,
    colleagues: new Map([...state.colleagues, [word.node, row]]),
  };
  const charter = state.charter;
  if (charter === undefined || !isPrimary(state, now) || state.job !== undefined)
    return step(noted);
  if (word.charter !== undefined && word.charter.fleet !== charter.fleet) return step(noted);
  // A store that counts as in sync and says that it holds nothing has lost its disk: it is left out at once, and then mended.
  if (charter.insync.includes(word.node) && word.charter === undefined)
    return leaveOut(noted, [word.node], now);
  const near = inTouch(noted, now);
  if (
    charter.insync.includes(word.node) ||
    near.length >= state.limits.copies ||
    word.digests.length === 0
  )
    return step(noted);
  return mendNext(elect(noted, charter, now), from, word, charter, [...near, word.node], now);
};

/** Mends the spare whose turn it is, or takes it in once it is equal. */
const mendNext = (
  state: Store,
  from: Colleague,
  word: FrameOf<'greet'>,
  charter: Charter,
  insync: readonly NodeId[],
  now: Moment,
): Done => {
  if (state.mending?.node !== word.node) return step(state);
  const mine = digests(state.table);
  const unlike = mine.flatMap((one, range) => (one === word.digests[range] ? [] : [range]));
  const shown: Charter = { ...charter, stores: placed(state, from, charter, now) };
  if (unlike.length > 0) {
    return step(
      state,
      ...unlike.slice(0, mendRanges).map((range) =>
        send(from.address, {
          kind: 'listing' as const,
          epoch: charter.epoch,
          stamp: state.stamp,
          range,
          keys: inRange(state.table, range),
        }),
      ),
    );
  }
  if (!sameStamp(word.stamp, state.stamp) || word.charter?.epoch !== charter.epoch) {
    return step(
      state,
      send(from.address, {
        kind: 'mend',
        epoch: charter.epoch,
        charter: shown,
        settled: state.stamp,
        entries: [],
      }),
    );
  }
  // Equal to the last entry and stamp, and nothing is being written: it is in sync from the next epoch on.
  const next: Store = { ...state, charter: shown, mending: undefined, tried: new Set() };
  const asked = ask(state.stand, poll(next, shown, now), insync, now);
  return join(
    [log('info', 'a spare is mended', ['store', word.node])],
    step({ ...next, stand: asked.state }, ...asked.effects),
  );
};

/** Whether a store may be mended by the holder of this epoch. */
const mendable = (state: Store, epoch: number): boolean =>
  !inSync(state) &&
  state.job === undefined &&
  epoch >= Math.max(state.charter?.epoch ?? 0, state.ousted);

/** The primary lists a range that is unlike: what is wrong here is dropped, what is lacking is fetched. */
export const onListing = (
  state: Store,
  from: Colleague,
  word: FrameOf<'listing'>,
  now: Moment,
): Done => {
  if (!mendable(state, word.epoch)) return step(state);
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
            kind: 'fetch',
            node: me(state),
            epoch: word.epoch,
            keys: lacking.map((one) => one.key),
          }),
        ];
  if (extra.length === 0 || state.charter === undefined || state.chore !== undefined)
    return step(state, ...fetch);
  const puts: readonly Put[] = extra.map((one) => ({ key: one.key, data: null }));
  return join(
    fetch,
    startChore(
      state,
      {
        since: now,
        after: 'mended',
        to: from.address,
        charter: state.charter,
        stamp: state.stamp,
        puts,
        stamps: new Map(),
        call: undefined,
      },
      false,
    ),
  );
};

export const onFetch = (
  state: Store,
  from: Colleague,
  word: FrameOf<'fetch'>,
  now: Moment,
): Done => {
  const charter = state.charter;
  if (charter === undefined || !isPrimary(state, now) || word.epoch !== charter.epoch)
    return step(state);
  const entries: FrameOf<'mend'>['entries'] = [];
  let size = 0;
  for (const key of word.keys) {
    const entry = state.table.get(key);
    if (entry === undefined) continue;
    entries.push({ key, ...entry });
    size += entry.data.length;
    if (size > mendBytes) break;
  }
  const mending =
    state.mending?.node === word.node ? { node: word.node, since: now } : state.mending;
  return step(
    { ...state, mending },
    send(from.address, { kind: 'mend', epoch: charter.epoch, charter, entries }),
  );
};

const maxMends = 64;

/** Entries from the primary: they replace what is here, one write after another. */
export const onMend = (state: Store, from: Colleague, word: FrameOf<'mend'>, now: Moment): Done => {
  if (state.chore !== undefined)
    return step(
      state.mends.length < maxMends ? { ...state, mends: [...state.mends, { from, word }] } : state,
    );
  if (!mendable(state, word.epoch) || word.charter.insync.includes(me(state))) return step(state);
  if (state.charter !== undefined && state.charter.fleet !== word.charter.fleet) return step(state);
  const stamps = new Map(word.entries.map((one) => [one.key, one.stamp]));
  const puts = word.entries.map((one) => ({ key: one.key, data: one.data }));
  // Until it is settled, this store keeps a stamp that no copy can follow.
  const stamp = word.settled ?? state.stamp;
  return startChore(
    state,
    {
      since: now,
      after: 'mended',
      to: from.address,
      charter: word.charter,
      stamp,
      puts,
      stamps,
      call: undefined,
    },
    false,
  );
};

/** After a mend was written the next one is, or the primary is asked at once what is still unlike. */
const goOn = (state: Store, now: Moment): Done => {
  const [next, ...rest] = state.mends;
  if (next !== undefined) return onMend({ ...state, mends: rest }, next.from, next.word, now);
  return greet({ ...state, greeted: start }, now);
};

/** An operator founds a fleet on this store and its colleague. */
export const onFound = (
  state: Store,
  from: Colleague,
  word: FrameOf<'found'>,
  now: Moment,
): Done => {
  const answer = (ok: boolean, text: string): StoreEffect =>
    send(from.address, { kind: 'founded', id: word.id, node: me(state), ok, text });
  const known = state.charter;
  if (known?.fleet === word.fleet) return step(state, answer(true, ''));
  if (known !== undefined && known.epoch > 0)
    return step(state, answer(false, `belongs to the fleet ${known.fleet}`));
  if (!state.foundable) return step(state, answer(false, 'no fleet is founded on this store'));
  if (state.phase === 'reading' || state.chore !== undefined)
    return step(state, answer(false, 'busy; found again'));
  const charter: Charter = {
    fleet: word.fleet,
    epoch: noEpoch,
    insync: word.stores.map((one) => one.node),
    stores: word.stores,
    electorate: word.electorate,
  };
  return startChore(
    state,
    {
      since: now,
      after: 'founded',
      to: from.address,
      charter,
      stamp: { epoch: charter.epoch, seq: nextSeq(noSeq) },
      puts: [],
      stamps: new Map(),
      call: word.id,
    },
    true,
  );
};
