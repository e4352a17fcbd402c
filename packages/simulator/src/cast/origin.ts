import { createHash } from 'node:crypto';
import {
  type Address,
  type InstanceId,
  type Release,
  type ServiceName,
  increment,
} from '@switchwheel/types';
import type { HeaderFields } from '@switchwheel/transport';
import {
  type AttemptFailure,
  type AttemptHandlers,
  type AttemptRequest,
  fieldValue,
} from '@switchwheel/proxy-core';
import type { Stage } from '../world/actor.js';
import { contentOf, isLarge } from './content.js';
import type { Told, SimRegistry } from './registry.js';

/** One run of a request at an origin, as the origin itself knows it. */
export interface Run {
  readonly request: string;
  readonly at: number;
  readonly unsafe: boolean;
}

const partBytes = 700;
const lostText = (text: string): AttemptFailure => ({
  mayHaveBeenSent: true,
  isTimeout: false,
  text,
});

/** A stand-in for an origin. */
export class SimOrigin {
  readonly stage: Stage;
  readonly service: ServiceName;
  readonly instance: InstanceId;
  readonly address: Address;
  readonly release: Release;
  readonly slots: number;
  readonly runs: Run[] = [];
  readonly arrivals: number[] = [];
  readonly takes: { readonly request: string; readonly at: number }[] = [];
  /** Everything it was sent: requests and health checks. */
  readonly sent: number[] = [];
  used = 0;
  overrun = 0;
  alive = true;
  diedAt = -Infinity;
  state: 'up' | 'leaving' | 'gone' = 'up';
  /** When a registry first confirmed to know that it is leaving or gone. */
  knownAt: number | undefined;
  slowMs = 0;
  badShare = 0;
  loseShare = 0;
  corruptShare = 0;
  cutShare = 0;
  misnamedShare = 0;
  workMs = 10;
  /** How much longer each part of an answer takes. */
  partMs = 0;
  readonly badTimes: number[] = [];
  readonly #registries: () => readonly SimRegistry[];
  readonly #working = new Map<string, number>();
  readonly revisionOf: (path: string) => number;

  constructor(
    stage: Stage,
    service: ServiceName,
    instance: InstanceId,
    address: Address,
    release: Release,
    slots: number,
    registries: () => readonly SimRegistry[],
    revisionOf: (path: string) => number,
  ) {
    this.stage = stage;
    this.service = service;
    this.instance = instance;
    this.address = address;
    this.release = release;
    this.slots = slots;
    this.#registries = registries;
    this.revisionOf = revisionOf;
    this.#announce();
  }

  /** Says plainly that it is leaving, to registry after registry until one takes note. */
  leave(state: 'leaving' | 'gone'): void {
    this.state = state;
    this.#say();
  }

  crash(): void {
    this.alive = false;
    this.diedAt = this.stage.agenda.now;
  }

  /** Whether nothing ails it. */
  get well(): boolean {
    return (
      this.alive &&
      this.slowMs === 0 &&
      this.partMs === 0 &&
      this.badShare === 0 &&
      this.loseShare === 0 &&
      this.corruptShare === 0 &&
      this.cutShare === 0 &&
      this.misnamedShare === 0
    );
  }

  /** Answers whole and in its own name again. */
  mend(): void {
    this.loseShare = 0;
    this.corruptShare = 0;
    this.cutShare = 0;
    this.misnamedShare = 0;
  }

  /** Whether it works on a request for an object just now. */
  worksOn(path: string): boolean {
    return (this.#working.get(path) ?? 0) > 0;
  }

  #announce(): void {
    if (!this.alive) return;
    this.#say();
    this.stage.agenda.after(this.stage.chance.between(1800, 2200), () => this.#announce());
  }

  #say(): void {
    const near = this.#registries().filter(
      (one) => one.alive && !one.frozen && this.stage.net.open('origins', one.node),
    );
    const registry = this.stage.chance.one(near);
    const state = this.state;
    const heard = (told: Told): void => {
      if (told.status === 200) {
        if (state === 'up') return;
        if (this.knownAt === undefined)
          this.stage.tried.note('R6: an origin that leaves was known');
        if (this.knownAt === undefined && this.stage.net.cuts > 0)
          this.stage.tried.note('R6: an origin left while the core was cut');
        this.knownAt ??= this.stage.agenda.now;
      } else if (told.status === 503 && this.alive) this.stage.agenda.after(300, () => this.#say());
    };
    if (registry === undefined) {
      if (this.alive) this.stage.agenda.after(300, () => this.#say());
      return;
    }
    const origin = {
      service: this.service,
      instance: this.instance,
      address: this.address,
      release: this.release,
      slots: this.slots,
      state,
    };
    registry.call({ verb: 'announce', origin }, heard);
  }

  /** A health check came. */
  probe(instance: InstanceId): boolean {
    this.sent.push(this.stage.agenda.now);
    return instance === this.instance && this.state === 'up';
  }

  /** Takes a request and answers it, once and in parts, on the channel that it came on. */
  take(request: AttemptRequest, back: AttemptHandlers): void {
    const { agenda, chance } = this.stage;
    if (!this.alive) {
      agenda.after(chance.between(0.5, 3), () =>
        back.failed({ mayHaveBeenSent: false, isTimeout: false, text: 'refused' }),
      );
      return;
    }
    const unrun = (): void => {
      agenda.after(chance.between(0.5, 3), () => {
        back.head(503, [
          ['switchwheel-instance', this.instance],
          ['switchwheel-unrun', 'true'],
          ['content-length', '0'],
        ]);
        back.ended();
      });
    };
    this.sent.push(agenda.now);
    if (request.instance !== this.instance) {
      unrun();
      return;
    }
    const id = fieldValue(request.fields, 'x-request-id') ?? '';
    const unsafe = request.method !== 'GET';
    this.arrivals.push(agenda.now);
    this.takes.push({ request: id, at: agenda.now });
    if (this.used >= this.slots) {
      this.overrun += 1;
      unrun();
      return;
    }
    this.used += 1;
    increment(this.#working, request.target);
    const span = this.workMs * (0.5 + -Math.log(1 - chance.next()) * 0.7) + this.slowMs;
    const revision = this.revisionOf(request.target);
    agenda.after(span, () => {
      this.used -= 1;
      increment(this.#working, request.target, -1);
      if (!this.alive) {
        if (unsafe) this.stage.tried.note('R1: an origin died with an unsafe request in hand');
        // It may have died just before or just after the work.
        if (chance.hit(0.5)) this.runs.push({ request: id, at: agenda.now, unsafe });
        back.failed(lostText('crashed'));
        return;
      }
      this.runs.push({ request: id, at: agenda.now, unsafe });
      const bad = chance.hit(this.badShare);
      if (bad) this.badTimes.push(agenda.now);
      this.#answer(request.target, id, revision, unsafe, bad, back);
    });
  }

  #answer(
    target: string,
    id: string,
    revision: number,
    unsafe: boolean,
    bad: boolean,
    back: AttemptHandlers,
  ): void {
    const { chance, tried } = this.stage;
    if (chance.hit(this.loseShare)) {
      if (unsafe) tried.note('R1: an unsafe result was lost after the work');
      back.failed(lostText('lost after the work'));
      return;
    }
    const misnamed = chance.hit(this.misnamedShare);
    // Whoever answers in another's name answers what that one was asked.
    const body = bad
      ? Buffer.from('fault')
      : contentOf(misnamed ? '/somebody/else/1' : target, revision, id, this.stage.agenda.now);
    if (misnamed) tried.note('R3: a result bore a wrong name');
    const fields: HeaderFields = [
      ['switchwheel-instance', misnamed ? 'somebody-else' : this.instance],
      ['content-length', String(body.length)],
      ['cache-tag', `t${target.length % 3}`],
      ['content-digest', `sha-256=:${createHash('sha256').update(body).digest('base64')}:`],
    ];
    if (chance.hit(this.corruptShare)) {
      const spot = chance.whole(0, body.length - 1);
      body[spot] = (body[spot] ?? 0) ^ 0x55;
      tried.note(
        isLarge(target) && !bad
          ? 'R3: a streamed result was corrupt'
          : 'R3: a whole result was corrupt',
      );
    }
    const cut = chance.hit(this.cutShare);
    // Some end a shortened answer as if it were whole, and tell no digest.
    const sly = cut && chance.hit(0.5);
    if (sly) fields.pop();
    if (cut) tried.note('R3: a result was cut amid its body');
    back.head(bad ? 500 : 200, fields);
    this.#parts(body, 0, cut ? chance.whole(0, body.length - 1) : body.length, sly, back);
  }

  #parts(body: Buffer, at: number, breaks: number, sly: boolean, back: AttemptHandlers): void {
    const { agenda, chance } = this.stage;
    if (sly && at >= breaks) back.ended();
    else if (!this.alive || (at >= breaks && breaks < body.length))
      back.failed(lostText('broke off amid the body'));
    else if (at >= body.length) back.ended();
    else
      back.chunk(body.subarray(at, Math.min(breaks, at + partBytes)), () =>
        agenda.after(chance.between(0.1, 1) + this.partMs, () =>
          this.#parts(body, Math.min(breaks, at + partBytes), breaks, sly, back),
        ),
      );
  }
}
