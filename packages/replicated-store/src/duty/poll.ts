import { type Moment, type NodeId, type Step, noEpoch, step, toMoment } from '@switchwheel/types';
import type { Charter, Electorate, Holder, WireEffect } from '@switchwheel/transport';
import { type Poll, holds, lay } from '@switchwheel/election';
import { type ColleagueWord, type Store, me } from '../state/state.js';
import { newerStamp } from '../table/table.js';

/** How fresh a colleague's consent must be. */
const consentSpan = 500;
export const partnerSpan = 650;
/** How long the primary must be silent before a backup stands. */
export const quietSpan = 700;
/** How much longer each backup waits than the one before it, so that not all stand at once. */
const rankSpan = 40;
/** How long a store without witnesses that remember waits for those of its in-sync set that do not speak. */
const patience = 1400;
/** How long it waits for others to speak up when one of its in-sync set has lost its disk. */
const blankSpan = 1000;

export const isPrimary = (state: Store, now: Moment): boolean =>
  state.serving && holds(state.stand, now);

/** Whether this store holds every confirmed write, as far as it knows. */
export const inSync = (state: Store): boolean =>
  state.charter !== undefined &&
  state.charter.insync.includes(me(state)) &&
  state.ousted <= state.charter.epoch;

type Testimony = 'same' | 'later' | 'blank' | 'silent';

/** What a colleague's record says of holdings after this store's own charter. */
const testimony = (
  state: Store,
  charter: Charter,
  word: ColleagueWord | undefined,
  now: Moment,
): Testimony => {
  if (word === undefined || now - word.at >= consentSpan) return 'silent';
  if (word.charter === undefined) return 'blank';
  if (word.charter.fleet !== charter.fleet) return 'silent';
  return word.charter.epoch > charter.epoch || newerStamp(word.stamp, state.stamp)
    ? 'later'
    : 'same';
};

/** Whether a store is heard that belongs to a later holding without this one. */
const overruled = (state: Store, charter: Charter, now: Moment): boolean =>
  [...state.colleagues.values()].some(
    (word) =>
      now - word.at < patience &&
      word.charter?.fleet === charter.fleet &&
      word.charter.epoch > charter.epoch &&
      !word.charter.insync.includes(me(state)),
  );

/** Whether no later holding can have confirmed anything without this store, as far as records tell: then it needs no witness that remembers. */
const vouched = (state: Store, charter: Charter, now: Moment): boolean => {
  const others = charter.insync
    .filter((one) => one !== me(state))
    .map((one) => {
      const word = state.colleagues.get(one);
      return {
        tells: testimony(state, charter, word, now),
        heard: Math.max(word?.at ?? state.born, state.born),
      };
    });
  if (overruled(state, charter, now)) return false;
  if (others.every((one) => one.tells === 'same')) return true;
  if (
    charter.epoch === noEpoch ||
    others.some((one) => one.tells === 'later') ||
    now - state.born < blankSpan
  )
    return false;
  // A disk that is lost tells nothing ever again; one that is silent can have gone on only if it lost all who speak at once.
  const silent = others.filter((one) => one.tells === 'silent');
  const same = 1 + others.filter((one) => one.tells === 'same').length;
  return (
    silent.length === 0 ||
    (same > state.limits.tolerate && silent.every((one) => now - one.heard >= patience))
  );
};

export const poll = (state: Store, charter: Charter, now: Moment): Poll => {
  const known = state.berth.electorate;
  const electorate: Electorate =
    known !== undefined && known.serial > charter.electorate.serial ? known : charter.electorate;
  const held: Holder = {
    duty: state.stand.duty,
    epoch: charter.epoch,
    node: me(state),
    address: state.berth.member.address,
  };
  return { fleet: charter.fleet, electorate, held, trustBlank: vouched(state, charter, now) };
};

/** The stores in sync that are in touch and whose disks take writes. */
export const inTouch = (state: Store, now: Moment): Charter['insync'] =>
  (state.charter?.insync ?? []).filter((one) => {
    const word = state.colleagues.get(one);
    return (
      one === me(state) ||
      (word?.charter !== undefined &&
        word.charter.fleet === state.charter?.fleet &&
        !word.full &&
        now - word.at < partnerSpan)
    );
  });

export const areaOf = (state: Store, node: NodeId): string =>
  node === me(state)
    ? state.berth.member.area
    : (state.berth.members.find((one) => one.node === node)?.area ?? `around ${node}`);

/** The stores to stand with: no more than copies are wanted, in as many areas as there are. */
export const partners = (state: Store, now: Moment): Charter['insync'] => {
  const near = inTouch(state, now);
  if (near.length <= state.limits.copies) return near;
  const taken = [me(state)];
  while (taken.length < state.limits.copies) {
    const areas = new Set(taken.map((one) => areaOf(state, one)));
    const left = near.filter((one) => !taken.includes(one));
    const next = left.find((one) => !areas.has(areaOf(state, one))) ?? left[0];
    if (next === undefined) break;
    taken.push(next);
  }
  return taken;
};

/** Whether this store may and should stand for the duty. */
export const keen = (state: Store, now: Moment): boolean => {
  if (state.phase !== 'member' || !inSync(state) || now < state.shunned) return false;
  const rank = [...inTouch(state, now)].sort().indexOf(me(state));
  return (
    state.chore === undefined &&
    state.job === undefined &&
    now - state.led > quietSpan + rankSpan * rank
  );
};

/** Gives the duty up for a while. */
export const resign = (state: Store, rest: number, now: Moment): Step<Store, WireEffect> => {
  const given = lay(
    state.stand,
    state.charter === undefined ? undefined : poll(state, state.charter, now),
    now,
    0,
  );
  return step({ ...state, stand: given.state, shunned: toMoment(now + rest) }, ...given.effects);
};
