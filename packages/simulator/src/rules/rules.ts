import { type LeaseName, increment, toServiceName } from '@switchwheel/types';
import { holdsLease } from '@switchwheel/election';
import { hasExtraAttemptBudget } from '@switchwheel/proxy-core';
import type { Asked, SimCallers } from '../cast/callers.js';
import { SimProxy } from '../cast/proxy.js';
import { SimRegistry } from '../cast/registry.js';
import { SimStore } from '../cast/store.js';
import type { Actor } from '../world/actor.js';
import { lifetimeOf } from '../world/describe.js';
import type { World } from '../world/world.js';
import { Reach } from './reach.js';
import { Owed } from './service.js';

/** "About two seconds" leaves the simulated network a little. */
const about = 2200;
/** After a full loss service is back within about fifteen seconds: then all that is in reach must serve. */
const backSpan = 15_000;
const lookSpan = 25;
/** For how long an edge must have owed a result before a request, so that what is left of a fault is over. */
const owedSpan = 3000;
/** The least a service takes as it is slowest: what has waited longer than its route allows is silent. */
const patience = 6500;

/** Sliding counts: the most in any span. */
const mostIn = (times: readonly number[], span: number): number => {
  const sorted = [...times].sort((one, two) => one - two);
  let most = 0;
  let first = 0;
  for (const [at, time] of sorted.entries()) {
    while ((sorted[first] ?? 0) <= time - span) first += 1;
    most = Math.max(most, at - first + 1);
  }
  return most;
};

/** Watches a simulated fleet for breaches of the rules: some after each step, some at every look, the others over the whole run. */
export class Rules {
  readonly broken: string[] = [];
  readonly reach: Reach;
  readonly #owed: Owed;
  readonly #world: World;
  readonly #callers: SimCallers;
  readonly #highest = new Map<string, number>();
  readonly #holders = new Map<LeaseName, Set<Actor>>();
  readonly #hashes = new Map<number, string>();
  readonly #late = new Set<string>();
  /** The highest generation that was accepted, by when. */
  readonly #accepted: { readonly at: number; readonly generation: number }[] = [];
  readonly #told = new Set<string>();
  readonly #vacant = new Map<string, number>();
  #due = 0;

  constructor(world: World, callers: SimCallers) {
    this.#world = world;
    this.#callers = callers;
    this.reach = new Reach(world);
    this.#owed = new Owed(world, this.reach);
    world.after = (actor) => this.step(actor);
    world.isOut = (proxy) => this.reach.out.has(proxy);
    callers.onSent = (asked) => {
      asked.owed = this.#owed.span(asked.edge, toServiceName(asked.service));
    };
    callers.onTold = (asked) => this.#ended(asked);
    const look = (): void => {
      this.#look();
      world.agenda.after(lookSpan, look);
    };
    look();
  }

  #break(rule: string, text: string): void {
    if (this.broken.length < 20)
      this.broken.push(`${rule} at ${Math.round(this.#world.agenda.now)}: ${text}`);
  }

  #breakOnce(rule: string, key: string, text: string): void {
    if (this.#late.has(`${rule} ${key}`)) return;
    this.#late.add(`${rule} ${key}`);
    this.#break(rule, text);
  }

  /** What a program found broken of the invariants that it checks on itself. */
  #invariants(actor: Actor): void {
    const found =
      actor instanceof SimStore || actor instanceof SimRegistry
        ? actor.state?.violations
        : actor instanceof SimProxy
          ? actor.state?.nodeAgent.violations
          : undefined;
    for (const [invariant, count] of found ?? [])
      this.#breakOnce('invariant', `${actor.node} ${invariant}`, `${invariant}, ${count} times`);
  }

  /** Checked after each event of a machine. */
  step(actor: Actor): void {
    this.#invariants(actor);
    if (actor instanceof SimProxy) {
      const generation = actor.state?.nodeAgent.compiledConfiguration?.generation ?? 0;
      const before = this.#highest.get(actor.node) ?? 0;
      if (generation !== 0 && generation < before)
        this.#breakOnce('R5', actor.node, `${actor.node} went from ${before} to ${generation}`);
      if (generation > before) this.#highest.set(actor.node, generation);
      for (const [service, candidate] of actor.state?.nodeAgent.candidates ?? [])
        this.#hold(
          candidate.leaseName,
          actor,
          holdsLease(candidate, actor.clock) && actor.state?.activeLeaders.has(service) === true,
        );
    }
    if (actor instanceof SimStore && actor.state !== undefined) {
      this.#hold(
        actor.state.candidate.leaseName,
        actor,
        actor.state.isServing && holdsLease(actor.state.candidate, actor.clock),
      );
      const offer = actor.state.control.configuration?.offer;
      if (actor.state.isServing && offer !== undefined) {
        const known = this.#hashes.get(offer.generation);
        if (known !== undefined && known !== offer.hash)
          this.#break('generation', `generation ${offer.generation} is two descriptions`);
        this.#hashes.set(offer.generation, offer.hash);
      }
    }
  }

  #hold(duty: LeaseName, actor: Actor, holding: boolean): void {
    const set = this.#holders.get(duty) ?? new Set<Actor>();
    this.#holders.set(duty, set);
    if (!holding) {
      set.delete(actor);
      return;
    }
    set.add(actor);
    for (const other of [...set]) {
      if (other === actor) continue;
      if (this.#stillHolds(other, duty))
        this.#breakOnce('one holder', duty, `${duty} is held by ${actor.node} and ${other.node}`);
      else set.delete(other);
    }
  }

  #stillHolds(actor: Actor, duty: LeaseName): boolean {
    if (!actor.alive) return false;
    if (actor instanceof SimStore)
      return (
        actor.state !== undefined &&
        actor.state.isServing &&
        holdsLease(actor.state.candidate, actor.clock)
      );
    if (!(actor instanceof SimProxy)) return false;
    return [...(actor.state?.nodeAgent.candidates.values() ?? [])].some(
      (one) => one.leaseName === duty && holdsLease(one, actor.clock),
    );
  }

  /** Checked again and again while time passes. */
  #look(): void {
    const world = this.#world;
    this.reach.look();
    this.#owed.look();
    this.#inForce();
    this.#back();
    for (const proxy of world.shields) {
      for (const [service, name] of proxy.state?.activeLeaders ?? []) {
        const keeper = proxy.state?.leaders.get(name);
        if (keeper === undefined) continue;
        if (!hasExtraAttemptBudget(keeper, proxy.clock))
          world.tried.note('R8: the budget of extra legs was used up');
        if (
          keeper.serviceConfiguration.perSecond !== undefined &&
          keeper.tokens < 1 &&
          keeper.queues.size > 0
        )
          world.tried.note('R9: a ceiling held requests back');
        const slots = [...keeper.endpoints.values()].some((bay) => bay.activeAttempts > bay.slots);
        if (slots)
          this.#breakOnce(
            'slots',
            service,
            `${service}: a keeper has more legs at an origin than its slots`,
          );
      }
    }
  }

  /** R4, for every node that has been in reach for as long as it takes. */
  #inForce(): void {
    const { now } = this.#world.agenda;
    for (const write of this.#world.writes) {
      if (write.kind !== 'apply' || write.told?.status !== 200 || this.#told.has(write.id))
        continue;
      this.#told.add(write.id);
      this.#accepted.push({ at: write.told.at, generation: write.told.generation });
      if (this.reach.out.size > 0)
        this.#world.tried.note('R4: accepted while a node was out of reach');
    }
    for (
      let first = this.#accepted[0];
      first !== undefined && first.at <= now - about;
      first = this.#accepted[0]
    ) {
      this.#due = Math.max(this.#due, first.generation);
      this.#accepted.shift();
    }
    for (const proxy of this.#world.proxies) {
      if (this.reach.span(proxy) < about) continue;
      const has =
        proxy.adopted.at(-1)?.life === proxy.life ? (proxy.adopted.at(-1)?.generation ?? 0) : 0;
      if (has < this.#due)
        this.#breakOnce(
          'R4',
          `${proxy.node} ${this.#due}`,
          `generation ${this.#due} is not in force on ${proxy.node}, which runs ${has} and has been in reach for ${Math.round(this.reach.span(proxy))} ms`,
        );
    }
  }

  /** R12: what has been in reach for so long serves. */
  #back(): void {
    const world = this.#world;
    for (const edge of world.edges) {
      const idle = Math.min(
        this.reach.span(edge),
        this.#without(edge.node, edge.ready || edge.stopping),
      );
      if (idle > backSpan)
        this.#breakOnce(
          'R12',
          edge.node,
          `${edge.node} has been in reach and not ready for ${Math.round(idle)} ms`,
        );
    }
    const core = this.reach.coreSpan();
    if (Math.min(core, this.#without('primary', world.primary() !== undefined)) > backSpan)
      this.#breakOnce('R12', 'primary', 'no primary for fifteen seconds');
    const shield = Math.max(0, ...world.shields.map((one) => this.reach.span(one)));
    for (const { name } of world.layout.services) {
      if (
        Math.min(core, shield, this.#without(name, world.keeperOf(name) !== undefined)) > backSpan
      )
        this.#breakOnce('R12', name, `${name} has had no keeper for fifteen seconds`);
    }
  }

  /** For how long nobody has held a duty, as far as was looked. */
  #without(name: string, held: boolean): number {
    const { now } = this.#world.agenda;
    const since = held ? now : (this.#vacant.get(name) ?? now);
    this.#vacant.set(name, since);
    return now - since;
  }

  /** What is judged at the moment a caller is told. */
  #ended(asked: Asked): void {
    const { result } = asked;
    const world = this.#world;
    if (
      result === undefined ||
      asked.left ||
      result.kind === 'result' ||
      asked.owed < owedSpan ||
      asked.flood
    )
      return;
    // What failed in this very moment, between two looks, counts.
    this.reach.look();
    this.#owed.look();
    if (
      this.#owed.span(asked.edge, toServiceName(asked.service)) >=
      asked.owed + world.agenda.now - asked.sentAt - 1
    ) {
      this.#break(
        'owed',
        `${asked.id} ${asked.path} at ${asked.edge.node} was told ${result.kind} (${result.text}) after ${Math.round(world.agenda.now - asked.sentAt)} ms with nothing amiss on its way`,
      );
    }
  }

  /** Checked over the whole run. */
  finish(): readonly string[] {
    this.#look();
    for (const text of this.#world.breaches.slice(0, 5)) this.#break('fence', text);
    this.#runs();
    this.#results();
    this.#silent();
    this.#writes();
    this.#origins();
    return this.broken;
  }

  #runs(): void {
    const runs = new Map<string, number>();
    const { tried } = this.#world;
    for (const origin of this.#world.origins)
      for (const run of origin.runs) increment(runs, run.request);
    for (const asked of this.#callers.asked) {
      const many = runs.get(asked.id) ?? 0;
      if (asked.unsafe && many > 1)
        this.#break('R1', `${asked.id} ${asked.path} ran ${many} times`);
      if (many > 1) tried.note('R3: two legs ran for one request');
      const kind = asked.result?.kind;
      if (kind === 'rejected' || kind === 'unready')
        tried.note('R2: a request was told as refused');
      if (kind === 'unknown' || kind === 'lost' || kind === 'slow')
        tried.note('R2: a request was told as unknown');
      if ((kind === 'rejected' || kind === 'unready') && many > 0)
        this.#break(
          'R2',
          `${asked.id} ${asked.path} was told ${kind} (${asked.result?.text ?? ''}) and ran ${many} times`,
        );
      if (asked.unsafe && kind === 'result' && asked.result?.status === 200 && many === 0)
        this.#break('R3', `${asked.id} was told done and never ran`);
    }
  }

  #results(): void {
    const { tried } = this.#world;
    const purges = this.#world.writes.filter(
      (one) => one.kind === 'purge' && one.told?.status === 200,
    );
    for (const asked of this.#callers.asked) {
      const { result, doneAt } = asked;
      if (asked.second) this.#break('R3', `${asked.id} was told two results`);
      if (result?.kind !== 'result' || doneAt === undefined || result.status !== 200) continue;
      if (result.object !== asked.path)
        this.#break(
          'R3',
          `${asked.id} asked for ${asked.path} and got ${result.object === '' ? 'bytes of nothing' : result.object} from ${result.from}`,
        );
      // What can't be shared answers this very request.
      if (!asked.path.includes('/read/') && result.request !== asked.id)
        this.#break('R3', `${asked.id} got the result of ${result.request}`);
      if (!asked.path.includes('/read/')) continue;
      if (result.from === 'edge' || result.from === 'shield')
        tried.note('R7: a kept result was told');
      if (asked.outOfReach)
        tried.note('R7: an edge out of reach was asked for what it may have kept');
      const lifetime = lifetimeOf(asked.service);
      if (doneAt - result.stamp > lifetime + about)
        this.#break(
          'R7',
          `${asked.id} from ${result.from} at ${asked.edge.node} got ${asked.path} ${Math.round(doneAt - result.stamp)} ms after its origin made it`,
        );
      if (doneAt - result.stamp > lifetime * 0.9) tried.note('R7: a kept result came to its end');
      for (const purge of purges) {
        const at = purge.told?.at ?? 0;
        const least = purge.revisions.get(asked.path);
        if (least !== undefined && result.revision < least && doneAt > at + about) {
          this.#break(
            'R7',
            `${asked.id} from ${result.from} at ${asked.edge.node}, asked at ${Math.round(asked.sentAt)}, got revision ${result.revision} of ${asked.path}, ${Math.round(doneAt - at)} ms after its purge`,
          );
        }
      }
    }
  }

  /** R11: nobody waits for ever, but for those whose edge was killed or frozen. */
  #silent(): void {
    const { now } = this.#world.agenda;
    for (const asked of this.#callers.asked) {
      if (asked.result !== undefined || asked.left || now - asked.sentAt < patience) continue;
      const ended = asked.edge.endOf(asked.life);
      if (ended === 'planned')
        this.#break(
          'R11',
          `${asked.id} ${asked.path} at ${asked.edge.node} was dropped silently by a planned stop`,
        );
      else if (ended === 'alive' && !asked.edge.frozen)
        this.#break(
          'R11',
          `${asked.id} ${asked.path} at ${asked.edge.node} was never told anything`,
        );
    }
  }

  #writes(): void {
    let top = 0;
    const given = new Map<number, string>();
    for (const write of this.#world.writes) {
      const { told } = write;
      if (write.kind !== 'apply' || told?.status !== 200) continue;
      if (write.invalid) this.#break('whole', `${write.id} is invalid and was accepted`);
      const other = given.get(told.generation);
      if (other !== undefined)
        this.#break(
          'generation',
          `${other} and ${write.id} were both told generation ${told.generation}`,
        );
      given.set(told.generation, write.id);
      top = Math.max(top, told.generation);
    }
    const primary = this.#world.primary();
    const now = primary?.state?.control.configuration?.offer.generation ?? 0;
    if (primary !== undefined && now < top)
      this.#break('lost write', `generation ${top} was accepted, the store has ${now}`);
    const calls = primary?.state?.control.commandOutcomes;
    for (const write of this.#world.writes) {
      const status = write.told?.status;
      const kept = calls?.has(write.id) === true;
      if (primary !== undefined && status === 200 && !kept)
        this.#break('lost write', `${write.kind} ${write.id} was accepted and is not in the store`);
      if ((status === 409 || status === 422 || status === 503) && kept)
        this.#break('R2', `${write.kind} ${write.id} was told ${status} and took effect`);
    }
  }

  #origins(): void {
    for (const origin of this.#world.origins) {
      const known = origin.knownAt;
      if (known === undefined) continue;
      const late = origin.arrivals.filter((at) => at > known + about);
      if (late.length > 0)
        this.#break(
          'R6',
          `${origin.instance} got ${late.length} requests up to ${Math.round((late.at(-1) ?? 0) - known)} ms after it was known to leave`,
        );
    }
    for (const service of this.#world.layout.services) {
      const mine = this.#world.origins.filter((one) => one.service === service.name);
      if (service.perSecond !== undefined) {
        const most = mostIn(
          mine.flatMap((one) => one.sent),
          5000,
        );
        if (most > service.perSecond * 5.5)
          this.#break(
            'R9',
            `${service.name} was sent ${most} in 5 s, its ceiling is ${service.perSecond} a second`,
          );
      }
      this.#extra(
        service.name,
        mine.flatMap((one) => one.takes),
      );
    }
    this.#releases();
  }

  /** In any ten seconds, tries beyond the first are at most a fifth of the traffic and sixty. */
  #extra(
    service: string,
    takes: readonly { readonly request: string; readonly at: number }[],
  ): void {
    const sorted = [...takes].sort((one, two) => one.at - two.at);
    const seen = new Set<string>();
    const rows = sorted.map((one) => {
      const extra = seen.has(one.request);
      seen.add(one.request);
      return { at: one.at, extra };
    });
    let first = 0;
    let extra = 0;
    let traffic = 0;
    for (const row of rows) {
      if (row.extra) extra += 1;
      else traffic += 1;
      for (
        let old = rows[first];
        old !== undefined && old.at <= row.at - 10_000;
        old = rows[first]
      ) {
        if (old.extra) extra -= 1;
        else traffic -= 1;
        first += 1;
      }
      if (extra > traffic / 5 + 60) {
        this.#break(
          'R8',
          `${service}: ${extra} extra tries beside ${traffic} in ten seconds, up to ${Math.round(row.at)}`,
        );
        return;
      }
    }
  }

  /** Bad releases, as the run named them. */
  readonly badReleases = new Set<string>();

  #releases(): void {
    for (const release of this.badReleases) {
      const mine = this.#world.origins.filter((one) => one.release === release);
      const service = mine[0]?.service;
      const first = Math.min(...mine.flatMap((one) => one.arrivals));
      const all = this.#world.origins
        .filter((one) => one.service === service)
        .flatMap((one) => one.arrivals)
        .filter((at) => at >= first).length;
      const got = mine.reduce((sum, one) => sum + one.arrivals.length, 0);
      if (got > all / 10 + 55)
        this.#break('R10', `the bad release ${release} got ${got} of ${all} requests`);
      const bad = mine.flatMap((one) => one.badTimes).sort((one, two) => one - two)[49];
      if (bad !== undefined && mine.some((one) => one.arrivals.some((at) => at > bad + 5000)))
        this.#break('R10', `${release} got requests more than 5 s after its fiftieth bad answer`);
    }
  }
}
