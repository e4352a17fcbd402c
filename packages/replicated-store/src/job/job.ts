import {
  type Moment,
  type NodeId,
  type Step,
  join,
  nextSeq,
  start,
  step,
  toMoment,
} from '@switchwheel/types';
import {
  type Charter,
  type FrameOf,
  type Put,
  type Stamp,
  log,
  send,
} from '@switchwheel/transport';
import { ask, heldEpoch, holds } from '@switchwheel/election';
import { absorbAll } from '@switchwheel/configuration';
import { decide } from '../command/decide.js';
import { isPrimary, poll, resign } from '../duty/poll.js';
import { feedAll } from '../feed/feed.js';
import type { StoreEffect } from '../state/event.js';
import { type CallResult, type Command, type Job, type Store, me } from '../state/state.js';
import { apply } from '../table/table.js';

type Done = Step<Store, StoreEffect>;
/** How long a backup may take before the primary goes on without it. */
export const copySpan = 400;
/** How long the own disk may make no progress before the duty is given up. */
export const stallSpan = 700;
const resend = 150;
/** At most how often the engine acts on events; the first is acted on at once. */
const throttle = 250;
/** How often a full disk is tried again for the charter of a holding. */
const roomSpan = 1000;
const maxBatch = 512;
const noPieces: Store['spare'] = new Map();
const nobody: Job['confirmed'] = new Set();

export const tellCall = (one: CallResult): StoreEffect =>
  send(one.to, { kind: 'called', id: one.id, status: one.status, body: one.body });

const diskWrite = (
  id: number,
  charter: Charter,
  stamp: Stamp,
  puts: readonly Put[],
): StoreEffect => ({
  kind: 'sync',
  write: {
    id,
    charter,
    stamp,
    wipe: false,
    sets: puts.flatMap(({ key, data }) => (data === null ? [] : [{ key, stamp, data }])),
    drops: puts.flatMap(({ key, data }) => (data === null ? [key] : [])),
  },
});

/** Opens a write with nothing in it but a charter. */
export const openCharter = (state: Store, charter: Charter, now: Moment): Done => {
  const stamp: Stamp = { epoch: charter.epoch, seq: nextSeq(state.stamp.seq) };
  const job: Job = {
    id: state.nextId,
    phase: 'disk',
    lasts: false,
    since: now,
    sent: now,
    charter,
    confirmed: nobody,
    stamp,
    prior: state.stamp,
    puts: [],
    draft: state.control,
    results: [],
    tried: [],
  };
  return step({ ...state, job, nextId: state.nextId + 1 }, diskWrite(job.id, charter, stamp, []));
};

const unsure = (results: readonly CallResult[]): readonly StoreEffect[] =>
  results.map((one) =>
    tellCall({
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
const settle = (state: Store, job: Job): Store => ({
  ...state,
  job: undefined,
  shunned: start,
  stamp: job.stamp,
  table: apply(state.table, job.puts, job.stamp),
  control: job.draft,
});

/** Gives a write up that this store can no longer finish: whether it takes effect is not known. */
export const abandon = (state: Store): Done => {
  const job = state.job;
  if (job === undefined || job.phase === 'orphan') return step(state);
  const next =
    job.phase === 'copy'
      ? settle(state, job)
      : { ...state, job: { ...job, phase: 'orphan' as const } };
  return step(next, ...unsure(job.results));
};

/** Ends all that was under way in a holding. */
export const endHolding = (state: Store): Done =>
  abandon({
    ...state,
    serving: false,
    muted: false,
    waitlist: [],
    lacking: new Map(),
    compiling: new Map(),
    watches: new Map(),
    due: undefined,
  });

/** Gives the duty up for a while, and with it all that was under way. */
export const retire = (state: Store, rest: number, now: Moment): Done => {
  const resigned = resign(state, rest, now);
  // The colleague hears of it at once: the next greeting is due now.
  return join(resigned.effects, endHolding({ ...resigned.state, greeted: start }));
};

/** Takes what waits, in its order, and makes one write of it. */
export const startJob = (state: Store, now: Moment): Done => {
  const charter = state.charter;
  if (
    state.job !== undefined ||
    charter === undefined ||
    state.waitlist.length === 0 ||
    state.muted ||
    !isPrimary(state, now)
  )
    return step(state);
  const stamp: Stamp = { epoch: heldEpoch(state.stand), seq: nextSeq(state.stamp.seq) };
  let draft = state.control;
  let electorate = charter.electorate;
  let next = state;
  const puts: Put[] = [];
  const results: CallResult[] = [];
  const bounces: CallResult[] = [];
  const tried: Job['tried'][number][] = [];
  for (const command of state.waitlist.slice(0, maxBatch)) {
    const decision = decide(next, draft, command, stamp.seq, now);
    draft = absorbAll(draft, decision.puts);
    puts.push(...decision.puts);
    results.push(...decision.results);
    bounces.push(...decision.bounces);
    electorate = decision.electorate ?? electorate;
    if (command.kind === 'trial') tried.push({ to: command.to, word: command.word });
    if (command.kind === 'turn')
      next = { ...next, seen: decision.seen ?? next.seen, opened: decision.opened };
  }
  next = { ...next, waitlist: state.waitlist.slice(maxBatch) };
  const told = bounces.map(tellCall);
  if (puts.length === 0 && results.length === 0 && electorate === charter.electorate) {
    return step(next, ...told, ...tried.flatMap((one) => tellTried(draft, one)));
  }
  const job: Job = {
    id: state.nextId,
    phase: 'disk',
    lasts: false,
    since: now,
    sent: now,
    confirmed: nobody,
    stamp,
    prior: state.stamp,
    puts,
    draft,
    results,
    tried,
    charter: electorate === charter.electorate ? charter : { ...charter, electorate },
  };
  return step(
    { ...next, job, nextId: state.nextId + 1 },
    ...told,
    diskWrite(job.id, job.charter, stamp, puts),
  );
};

const tellTried = (
  control: Store['control'],
  one: Job['tried'][number],
): readonly StoreEffect[] => {
  const verdict = [...control.verdicts.values()].find(
    (row) => row.service === one.word.service && row.release === one.word.release,
  );
  return verdict === undefined ? [] : [send(one.to, { kind: 'tried', verdict, at: one.word.at })];
};

const colleaguesOf = (state: Store, charter: Charter): readonly Charter['stores'][number][] =>
  charter.stores.filter((one) => one.node !== me(state));

/** The backups that must have a write and have not said so. */
const awaited = (state: Store, job: Job): readonly NodeId[] =>
  job.charter.insync.filter((one) => one !== me(state) && !job.confirmed.has(one));

const copies = (state: Store, job: Job, to: readonly NodeId[]): readonly StoreEffect[] => {
  const frame: FrameOf<'copy'> = {
    kind: 'copy',
    charter: job.charter,
    stamp: job.stamp,
    prior: job.prior,
    puts: [...job.puts],
  };
  return colleaguesOf(state, job.charter)
    .filter((one) => to.includes(one.node))
    .map((one) => send(one.address, frame));
};
const everyCopy = (state: Store, job: Job): readonly StoreEffect[] =>
  copies(
    state,
    job,
    job.charter.stores.map((one) => one.node),
  );

const unlisted = ['purge/', 'call/', 'verdict/', 'release/', 'origin/'];

/** Whether a write may change what nodes are to run, or is the first of its epoch. */
const relists = (state: Store, job: Job): boolean =>
  !state.serving ||
  state.muted ||
  job.charter.epoch !== state.charter?.epoch ||
  job.puts.some((one) => !unlisted.some((family) => one.key.startsWith(family)));

/** The write lasts wherever it must: it counts, and everyone is told. */
const finish = (state: Store, job: Job, now: Moment): Done => {
  const first = !state.serving || state.muted;
  const table = apply(state.table, job.puts, job.stamp);
  const next: Store = {
    ...state,
    job: undefined,
    stamp: job.stamp,
    table,
    control: job.draft,
    charter: job.charter,
    serving: true,
    muted: false,
    diskFull: undefined,
    listed: relists(state, job) ? job.stamp.seq : state.listed,
  };
  const commands: Command[] = [];
  const stored = job.draft.stored?.offer.generation !== state.control.stored?.offer.generation;
  // A rollout that was just opened gets its first turn at once: the throttle is for events of targets.
  if (stored || first) commands.push({ kind: 'plan' }, { kind: 'turn' });
  const lists = job.puts.some(
    (one) =>
      one.key.startsWith('node/') ||
      one.key.startsWith('target/') ||
      one.key.startsWith('rollout/'),
  );
  const due =
    first || lists
      ? toMoment(Math.min(next.due ?? Infinity, Math.max(now, next.turned + throttle)))
      : next.due;
  const idle =
    next.lacking.size === 0 &&
    next.compiling.size === 0 &&
    !next.waitlist.some((one) => one.kind === 'apply');
  const planned = {
    ...next,
    spare: idle ? noPieces : next.spare,
    due,
    planned: stored || first ? now : next.planned,
    waitlist: [...commands, ...next.waitlist],
  };
  const told = [
    ...job.results.map(tellCall),
    ...job.tried.flatMap((one) => tellTried(job.draft, one)),
  ];
  const fed = feedAll(planned, now);
  const opened = startJob(planned, now);
  return join([...told, ...fed], opened);
};

/** The own disk has the write: the backups are next, those in sync must have it too. */
export const onSynced = (state: Store, id: number, now: Moment): Done => {
  const job = state.job;
  if (job?.id !== id) return step(state);
  if (job.phase === 'orphan') return step(settle(state, job));
  if (job.phase !== 'disk') return step(state);
  if (!holds(state.stand, now) || heldEpoch(state.stand) !== job.charter.epoch) {
    return abandon({ ...state, job: { ...job, phase: 'copy' } });
  }
  const next: Job = {
    ...job,
    phase: 'copy',
    lasts: true,
    confirmed: nobody,
    since: now,
    sent: now,
  };
  const whole = awaited(state, next).length === 0;
  if (whole) return join(everyCopy(state, next), finish(state, next, now));
  return step({ ...state, job: next }, ...everyCopy(state, next));
};

/** The own disk did not take the write: it never takes effect, unless this disk has had it since before. */
export const onUnsynced = (
  state: Store,
  id: number,
  text: string,
  full: boolean,
  now: Moment,
): Done => {
  const job = state.job;
  if (job?.id !== id) return step(state);
  if (job.phase === 'orphan') return step({ ...state, job: undefined });
  const bounced = job.lasts
    ? unsure(job.results)
    : job.results.map((one) =>
        tellCall({
          ...one,
          status: 503,
          body: JSON.stringify({
            kind: 'bounced',
            id: one.id,
            text: `the disk took nothing: ${text}`,
            retryAfterMs: 2000,
          }),
        }),
      );
  const next: Store = {
    ...(job.lasts ? settle(state, job) : state),
    job: undefined,
    diskFull: full ? now : state.diskFull,
  };
  const words = log('error', 'the disk refused a write', ['why', text]);
  const heir = [...state.colleagues.values()].some(
    (one) => job.charter.insync.includes(one.node) && !one.full && now - one.at < 1000,
  );
  // With a colleague in sync whose disk has room the duty goes to it.
  if (!full || heir) return join([words, ...bounced], retire(next, 10_000, now));
  // Otherwise reads and pushes go on, and writes are bounced until there is room.
  const written = state.serving && job.charter.epoch === state.charter?.epoch;
  return step({ ...next, serving: true, muted: state.muted || !written }, words, ...bounced);
};

/** A backup answered a copy: once all in sync have it the write counts. */
export const onCopied = (state: Store, word: FrameOf<'copied'>, now: Moment): Done => {
  const job = state.job;
  if (
    job?.phase !== 'copy' ||
    word.epoch !== job.stamp.epoch ||
    word.seq !== job.stamp.seq ||
    !job.charter.insync.includes(word.node)
  )
    return step(state);
  if (!word.ok)
    return join(
      [log('warn', 'a backup did not take a write', ['store', word.node], ['why', word.text])],
      leaveOut(state, [word.node], now),
    );
  if (!holds(state.stand, now) || heldEpoch(state.stand) !== job.charter.epoch) return step(state);
  const next: Job = { ...job, confirmed: new Set([...job.confirmed, word.node]) };
  const whole = awaited(state, next).length === 0;
  return whole ? finish(state, next, now) : step({ ...state, job: next });
};

/** Asks the witnesses for an epoch in which these stores are not in sync; the others stay. */
export const leaveOut = (state: Store, lost: readonly NodeId[], now: Moment): Done => {
  const charter = state.charter;
  if (charter === undefined || !holds(state.stand, now)) return step(state);
  const rest = state.stand.insync.filter((one) => !lost.includes(one));
  const asked = ask(state.stand, poll(state, charter, now), rest, now);
  return join(
    [log('warn', 'going on without a backup', ['stores', lost.join(', ')])],
    step({ ...state, stand: asked.state }, ...asked.effects),
  );
};

/** Lets time pass over a write. */
export const passJob = (state: Store, now: Moment): Done => {
  const job = state.job;
  if (
    job === undefined &&
    state.muted &&
    state.charter !== undefined &&
    state.stand.phase.phase === 'holding'
  ) {
    if (now - (state.diskFull ?? start) < roomSpan) return step(state);
    return openCharter(
      { ...state, diskFull: now },
      { ...state.charter, epoch: heldEpoch(state.stand), insync: [...state.stand.insync] },
      now,
    );
  }
  if (job === undefined) return startJob(state, now);
  if (job.phase === 'orphan') return step(state);
  if (job.phase === 'disk') {
    if (now - job.since <= stallSpan || state.stand.phase.phase !== 'holding') return step(state);
    return join(
      [log('error', 'the disk makes no progress; giving the duty up')],
      retire(state, 5000, now),
    );
  }
  if (state.stand.phase.phase !== 'holding') return step(state);
  const late = awaited(state, job);
  if (now - job.since > copySpan) return leaveOut(state, late, now);
  return now - job.sent > resend
    ? step({ ...state, job: { ...job, sent: now } }, ...copies(state, job, late))
    : step(state);
};

/** This store won: the charter of its holding is written before anything else. */
export const onWon = (state: Store, now: Moment): Done => {
  const charter = state.charter;
  if (charter === undefined) return step(state);
  const own: Charter = {
    ...charter,
    epoch: heldEpoch(state.stand),
    insync: [...state.stand.insync],
  };
  const job = state.job;
  if (job?.phase === 'orphan') return retire(state, 500, now);
  if (job !== undefined && state.serving) {
    // A write was under way when the in-sync set changed: it goes on under the new charter.
    const next: Job = {
      ...job,
      id: state.nextId,
      charter: { ...own, electorate: job.charter.electorate },
      phase: 'disk',
      since: now,
    };
    return step(
      { ...state, job: next, nextId: state.nextId + 1 },
      diskWrite(next.id, next.charter, next.stamp, next.puts),
    );
  }
  return openCharter({ ...state, job: undefined }, own, now);
};
