import {
  type Moment,
  type Step,
  alike,
  drop,
  join,
  noGeneration,
  noSeq,
  put,
  start,
  step,
} from '@switchwheel/types';
import {
  type Colleague,
  type Frame,
  type FrameOf,
  type Report,
  log,
  send,
} from '@switchwheel/transport';
import { count, hear, heldEpoch, pass } from '@switchwheel/election';
import { nextElectorate } from './duty/seats.js';
import {
  type Words,
  adrift,
  drift,
  hail,
  highest,
  takeHeard,
  takeRoster,
} from '@switchwheel/membership';
import { absorbAll, noControl } from '@switchwheel/configuration';
import { onCall, onCompiled, onPiece, onWant, passCalls, queue } from './command/calls.js';
import { inSync, isPrimary, keen, partners, poll, quietSpan } from './duty/poll.js';
import { feedOne } from './feed/feed.js';
import { endHolding, onCopied, onSynced, onUnsynced, onWon, passJob, retire } from './job/job.js';
import {
  greet,
  onChoreSynced,
  onChoreUnsynced,
  onCopy,
  onFetch,
  onFound,
  onGreet,
  onListing,
  onMend,
} from './mend/mend.js';
import { passOrigins, recalled } from './origins/origins.js';
import { onTally, passReleases } from './release/release.js';
import type { Found, StoreEffect, StoreEvent } from './state/event.js';
import { type Store, me } from './state/state.js';

type Done = Step<Store, StoreEffect>;
const planSpan = 60_000;
const tickSpan = 5000;
const lostSpan = 2000;
const hintSpan = 300;
/** How long a registry may be silent and still count as in touch without a break. */
const breakSpan = 1000;
/** How long a node may be out of touch before it is forgotten. */
const forgetSpan = 3_600_000;

const report = (state: Store, now: Moment): Report => ({
  generation: state.control.stored?.offer.generation ?? noGeneration,
  phase: 'none',
  ready: state.phase === 'member' && (isPrimary(state, now) || inSync(state)),
  fitness: {
    name: 'store',
    fit: state.trouble === '' && state.diskFull === undefined,
    text:
      state.trouble !== '' ? state.trouble : state.diskFull === undefined ? '' : 'the disk is full',
    parts: [
      {
        name: isPrimary(state, now) ? 'primary' : inSync(state) ? 'backup' : 'out of sync',
        fit: inSync(state),
        text: '',
        parts: [],
      },
    ],
  },
});

const words = (state: Store, now: Moment, bye: boolean): Words => ({
  report: report(state, now),
  held: [],
  purged: noSeq,
  bye,
});

const onRead = (before: Store, found: Found, now: Moment): Done => {
  const state: Store = { ...before, born: now };
  if (found.found === 'nothing')
    return step(
      { ...state, phase: 'blank' },
      log('info', 'the disk is empty: this store is no member until it is founded or mended'),
    );
  if (found.found === 'damaged') {
    return step(
      { ...state, phase: 'blank', soiled: true, trouble: `damaged disk: ${found.text}` },
      log(
        'error',
        'the disk is damaged: nothing of it is used, a colleague has to mend this store',
        ['why', found.text],
      ),
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
    charter: found.charter,
    stamp: found.stamp,
    table,
    control,
    stand: hear({ ...state.stand, insync: found.charter.insync }, found.charter.epoch),
  };
  return step(
    next,
    log(
      'info',
      'the disk is read',
      ['entries', found.entries.length],
      ['epoch', found.charter.epoch],
      ['generation', control.stored?.offer.generation ?? 0],
    ),
  );
};

/** Follows a change of the stand: a win is served, a loss ends all that was under way. */
const follow = (before: Store, after: Store, now: Moment): Done => {
  const was = before.stand.phase.phase;
  const is = after.stand.phase.phase;
  if (was === 'asking' && is === 'holding')
    return join(
      [log('info', 'won the duty', ['epoch', heldEpoch(after.stand)])],
      onWon(after, now),
    );
  if ((was === 'asking' || was === 'holding') && is === 'idle') {
    const ended = endHolding(after);
    return join(was === 'holding' ? [log('warn', 'the duty is over')] : [], ended);
  }
  return step(after);
};

const onVote = (state: Store, word: FrameOf<'vote'>, now: Moment): Done => {
  if (state.charter === undefined) return step(state);
  const berth =
    word.electorate === undefined ||
    (state.berth.electorate !== undefined &&
      state.berth.electorate.serial >= word.electorate.serial)
      ? state.berth
      : { ...state.berth, electorate: word.electorate };
  const base = { ...state, berth };
  return follow(
    base,
    { ...base, stand: count(base.stand, poll(base, state.charter, now), word, now) },
    now,
  );
};

const onTune = (state: Store, word: FrameOf<'tune'>, now: Moment): Done => {
  if (!isPrimary(state, now)) return step(state);
  const before = state.tuned.get(word.registry.node);
  const since = before !== undefined && now - before.at < breakSpan ? before.since : now;
  const row = {
    address: word.registry.address,
    since,
    at: now,
    serial: word.epoch === heldEpoch(state.stand) ? word.serial : noSeq,
    purged: word.purged,
  };
  let next: Store = { ...state, tuned: put(state.tuned, word.registry.node, row) };
  const effects: StoreEffect[] = [...feedOne(next, row, word.at, now)];
  let touch = next.touch;
  let fresh = false;
  for (const one of word.reports) {
    const known = state.control.nodes.get(one.node);
    const near = touch.get(one.node);
    if (!one.open && near !== undefined && near.registry !== word.registry.node) continue;
    if (one.open) touch = put(touch, one.node, { registry: word.registry.node, at: now });
    const same =
      known?.incarnation === one.incarnation &&
      known.online === one.open &&
      known.role === one.role &&
      alike(known.reported, one.report);
    if (same) continue;
    fresh ||= known === undefined;
    const waits = next.waitlist.some(
      (command) =>
        command.kind === 'node' &&
        command.node === one.node &&
        command.incarnation === one.incarnation &&
        alike(command.report, one.report) &&
        command.online === one.open,
    );
    if (waits) continue;
    const queued = queue(
      next,
      {
        kind: 'node',
        node: one.node,
        role: one.role,
        incarnation: one.incarnation,
        online: one.open,
        report: one.report,
      },
      now,
    );
    next = queued.state;
    effects.push(...queued.effects);
  }
  if (fresh) {
    const queued = queue(next, { kind: 'plan' }, now);
    next = queued.state;
    effects.push(...queued.effects);
  }
  return step({ ...next, touch }, ...effects);
};

/** Nodes that no registry has told of for a while are out of touch. */
const lose = (state: Store, now: Moment): Done => {
  let next: Done = step(state);
  for (const [node, row] of state.control.nodes) {
    const near = state.touch.get(node);
    if (!row.online && near !== undefined && now - near.at > forgetSpan) {
      next = join(
        next.effects,
        queue(
          { ...next.state, touch: drop(next.state.touch, node) },
          { kind: 'forget', node },
          now,
        ),
      );
      continue;
    }
    if (!row.online && near === undefined)
      next = step(
        { ...next.state, touch: put(next.state.touch, node, { registry: me(state), at: now }) },
        ...next.effects,
      );
    if (!row.online || (near !== undefined && now - near.at < lostSpan)) continue;
    if (near === undefined) {
      next = step(
        { ...next.state, touch: put(next.state.touch, node, { registry: me(state), at: now }) },
        ...next.effects,
      );
      continue;
    }
    if (next.state.waitlist.some((one) => one.kind === 'node' && one.node === node)) continue;
    next = join(
      next.effects,
      queue(
        next.state,
        {
          kind: 'node',
          node,
          role: row.role,
          incarnation: row.incarnation,
          online: false,
          report: row.reported,
        },
        now,
      ),
    );
  }
  return next;
};

/** Lets the electorate follow the registries, one seat at a time. */
const seat = (state: Store, now: Moment): Done => {
  const open =
    state.job !== undefined ||
    state.waitlist.some((one) => one.kind === 'electorate' || one.kind === 'seats');
  const electorate = state.limits.follow && !open ? nextElectorate(state, now) : undefined;
  if (electorate === undefined) return step(state);
  const queued = queue({ ...state, seated: now }, { kind: 'seats', electorate }, now);
  return join(
    [
      log('info', 'the electorate follows the registries', [
        'members',
        electorate.members.map((one) => one.node).join(', '),
      ]),
    ],
    queued,
  );
};

const lead = (state: Store, now: Moment): Done => {
  const seated = seat(state, now);
  let next = join(seated.effects, lose(seated.state, now));
  if (now - next.state.planned >= planSpan)
    next = join(next.effects, queue({ ...next.state, planned: now }, { kind: 'plan' }, now));
  next = join(next.effects, passReleases(next.state, now));
  next = join(next.effects, passOrigins(next.state, now));
  const due = next.state.due;
  if ((due !== undefined && now >= due) || now - next.state.turned >= tickSpan) {
    next = join(
      next.effects,
      queue({ ...next.state, due: undefined, turned: now }, { kind: 'turn' }, now),
    );
  }
  return next;
};

/** While no primary is heard of, the registry is told what this disk holds: nodes that run nothing need not wait for an election. */
const hint = (state: Store, now: Moment): readonly StoreEffect[] => {
  const offer = state.control.stored?.offer;
  const { charter, berth } = state;
  if (
    offer === undefined ||
    charter === undefined ||
    berth.moor === undefined ||
    isPrimary(state, now) ||
    now - state.led < quietSpan
  )
    return [];
  const { node, address } = berth.member;
  return [
    send(berth.moor.address, {
      kind: 'hint',
      node,
      address,
      epoch: charter.epoch,
      fleet: charter.fleet,
      offer,
      origins: recalled(state),
    }),
  ];
};

const onTick = (state: Store, now: Moment): Done => {
  if (state.phase === 'reading') return step(state);
  const drifted = drift(state.berth, words(state, now, false), now);
  let next: Done = step({ ...state, berth: drifted.state }, ...drifted.effects);
  const charter = next.state.charter;
  if (charter !== undefined && state.phase === 'member') {
    const base: Store =
      next.state.stand.phase.phase === 'idle'
        ? { ...next.state, stand: { ...next.state.stand, insync: partners(next.state, now) } }
        : next.state;
    const known = hear(base.stand, highest(base.berth, base.stand.duty));
    const passed = pass(known, poll(base, charter, now), keen(base, now), base.dice, now);
    next = join(
      [...next.effects, ...passed.effects],
      follow(base, { ...base, stand: passed.state.stand, dice: passed.state.dice }, now),
    );
  }
  if (now - state.greeted >= hintSpan)
    next = step(next.state, ...next.effects, ...hint(next.state, now));
  next = join(next.effects, greet(next.state, now));
  next = join(next.effects, passJob(next.state, now));
  next = join(next.effects, passCalls(next.state, now));
  return isPrimary(next.state, now) ? join(next.effects, lead(next.state, now)) : next;
};

const onStop = (state: Store, now: Moment): Done => {
  const bye = hail(state.berth, words(state, now, true), now);
  const done = retire({ ...state, berth: bye.state }, 60_000, now);
  const told = greet({ ...done.state, phase: 'member', greeted: start }, now);
  return join(
    [...bye.effects, ...done.effects, ...told.effects],
    step({ ...told.state, phase: 'stopping' }, { kind: 'stopped' }),
  );
};

const onFrame = (state: Store, from: Colleague, frame: Frame, now: Moment): Done => {
  switch (frame.kind) {
    case 'heard':
      return step({ ...state, berth: takeHeard(state.berth, from, frame, now) });
    case 'roster':
      return step({ ...state, berth: takeRoster(state.berth, from, frame, now) });
    case 'vote':
      return onVote(state, frame, now);
    case 'tune':
      return onTune(state, frame, now);
    case 'call':
      return onCall(state, from, frame, now);
    case 'piece':
      return onPiece(state, frame, now);
    case 'want':
      return onWant(state, from, frame);
    case 'copy':
      return onCopy(state, from, frame, now);
    case 'copied':
      return onCopied(state, frame, now);
    case 'greet':
      return onGreet(state, from, frame, now);
    case 'listing':
      return onListing(state, from, frame, now);
    case 'fetch':
      return onFetch(state, from, frame, now);
    case 'mend':
      return onMend(state, from, frame, now);
    case 'found':
      return onFound(state, from, frame, now);
    case 'tally':
      return isPrimary(state, now) ? onTally(state, frame, now) : step(state);
    case 'trial':
      return isPrimary(state, now)
        ? queue(state, { kind: 'trial', to: from.address, word: frame }, now)
        : step(state);
    default:
      return step(
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

/** The store: one function for every change of its state. */
export const storeStep = (state: Store, event: StoreEvent): Done => {
  if (state.phase === 'stopping') return step(state);
  switch (event.kind) {
    case 'read':
      return onRead(state, event.found, event.now);
    case 'tick':
      return onTick(state, event.now);
    case 'frame':
      return state.phase === 'reading'
        ? step(state)
        : onFrame(state, event.from, event.frame, event.now);
    case 'gone':
      return step({ ...state, berth: adrift(state.berth, event.address, event.now) });
    case 'synced':
      return state.chore?.id === event.id
        ? onChoreSynced(state, event.id, event.now)
        : onSynced(state, event.id, event.now);
    case 'unsynced':
      return state.chore?.id === event.id
        ? onChoreUnsynced(state, event.id, event.text, event.full, event.now)
        : onUnsynced(state, event.id, event.text, event.full, event.now);
    case 'compiled':
      return onCompiled(state, event.hash, event.faults, event.now);
    case 'stop':
      return onStop(state, event.now);
  }
};
