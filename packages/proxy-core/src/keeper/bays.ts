import { type InstanceId, type Timestamp, addMs, withEntry } from '@switchwheel/types';
import { type Origins, standing } from '@switchwheel/membership';
import type { Bay, Fit, Keeper, LegEnd } from './state.js';

const firstBar = 500;
const longestBar = 8000;
const streakBar = 3;
const rampSpan = 1000;
const slowTimes = 4;
const slowFloor = 40;

const newFit = (now: Timestamp): Fit => ({
  streak: 0,
  typical: 0,
  samples: 0,
  barredUntil: now,
  barred: 0,
  probe: 'unknown',
});

/** Takes the origins of the service in as they are known now. */
export const takeOrigins = (state: Keeper, origins: Origins, now: Timestamp): Keeper => {
  const bays = new Map<InstanceId, Bay>();
  for (const one of origins.values()) {
    if (one.service !== state.service) continue;
    const known = state.bays.get(one.instance);
    const up = standing(one, now);
    if (!up && known === undefined) continue;
    bays.set(one.instance, {
      instance: one.instance,
      address: one.address,
      release: one.release,
      slots: one.slots,
      used: known?.used ?? 0,
      lastLeg: known?.lastLeg ?? 0,
      probed: known?.probed,
      up,
      fit: known?.fit ?? newFit(now),
    });
  }
  for (const [id, bay] of state.bays)
    if (!bays.has(id) && bay.used > 0) bays.set(id, { ...bay, up: false });
  return { ...state, bays };
};

/** Slots a bay may fill now: a new keeper ramps in, as legs of the one before may still run there. */
export const roomOf = (state: Keeper, bay: Bay, now: Timestamp): number =>
  now - state.opened < rampSpan ? Math.max(1, Math.ceil(bay.slots / 2)) : bay.slots;

export const isFit = (bay: Bay, now: Timestamp): boolean =>
  bay.up && now >= bay.fit.barredUntil && bay.fit.probe !== 'bad';

export const totalRoom = (state: Keeper, now: Timestamp): number => {
  let sum = 0;
  for (const bay of state.bays.values()) if (isFit(bay, now)) sum += roomOf(state, bay, now);
  return sum;
};

const bar = (fit: Fit, now: Timestamp): Fit => {
  const barred = Math.min(6, fit.barred + 1);
  return {
    ...fit,
    barred,
    streak: 0,
    barredUntil: addMs(now, Math.min(longestBar, firstBar * 2 ** (barred - 1))),
  };
};

const median = (list: readonly number[]): number =>
  [...list].sort((one, two) => one - two)[Math.floor(list.length / 2)] ?? 0;

/** Whether a bay is far slower than the others of its service. */
const outlier = (state: Keeper, bay: Bay, now: Timestamp): boolean => {
  const others = [...state.bays.values()]
    .filter((one) => one.instance !== bay.instance && isFit(one, now) && one.fit.samples >= 5)
    .map((one) => one.fit.typical);
  if (others.length === 0 || bay.fit.samples < 5) return false;
  return bay.fit.typical > Math.max(slowFloor, slowTimes * median(others));
};

/** Draws what became of a leg into the health of its bay. */
export const judgeBay = (
  state: Keeper,
  instance: InstanceId,
  how: LegEnd,
  ms: number,
  now: Timestamp,
): { readonly state: Keeper; readonly barred: string | undefined } => {
  const bay = state.bays.get(instance);
  if (bay === undefined) return { state, barred: undefined };
  let fit = bay.fit;
  let text: string | undefined;
  if (how.end === 'good' || how.end === 'slow') {
    const typical = fit.samples === 0 ? ms : fit.typical * 0.8 + ms * 0.2;
    fit = {
      ...fit,
      typical,
      samples: Math.min(1000, fit.samples + 1),
      streak: how.end === 'good' ? 0 : fit.streak + 1,
      barred:
        how.end === 'good' && fit.samples % 50 === 0 ? Math.max(0, fit.barred - 1) : fit.barred,
    };
    if (how.end === 'good' && outlier({ ...state }, { ...bay, fit }, now)) {
      fit = { ...bar(fit, now), samples: 0 };
      text = `slow: ${Math.round(typical)} ms`;
    }
  } else if (how.end === 'bad' || how.end === 'lost' || how.end === 'unopened') {
    fit = { ...fit, streak: fit.streak + 1 };
  }
  if (fit.streak >= (how.end === 'unopened' ? 1 : streakBar)) {
    fit = bar(fit, now);
    text = `${how.end} answers`;
  }
  return {
    state: { ...state, bays: withEntry(state.bays, instance, { ...bay, fit }) },
    barred: text,
  };
};

/** Draws a probe into the health of its bay. */
export const judgeProbe = (state: Keeper, instance: InstanceId, good: boolean): Keeper => {
  const bay = state.bays.get(instance);
  if (bay === undefined) return state;
  const fit: Fit = good ? { ...bay.fit, probe: 'good' } : { ...bay.fit, probe: 'bad' };
  return { ...state, bays: withEntry(state.bays, instance, { ...bay, fit }) };
};

/** How much more loaded than the best a bay may be and still take its turn. */
const even = 1.5;

/** Among the bays a request may go to, those with about the least load take turns. */
export const elect = (
  state: Keeper,
  may: (bay: Bay) => boolean,
  now: Timestamp,
): Bay | undefined => {
  const open: { readonly bay: Bay; readonly load: number }[] = [];
  for (const bay of state.bays.values()) {
    const room = roomOf(state, bay, now);
    if (!isFit(bay, now) || bay.used >= room || !may(bay)) continue;
    open.push({ bay, load: ((bay.used + 1) / room) * (1 + bay.fit.typical / 50) });
  }
  const least = Math.min(...open.map((one) => one.load));
  return open
    .filter((one) => one.load <= least * even)
    .sort((one, two) => one.bay.lastLeg - two.bay.lastLeg)[0]?.bay;
};
