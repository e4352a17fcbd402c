import type { World } from '../world/world.js';
import type { CallerResult, SimProxy } from './proxy.js';

/** One request of a caller and what it came to. */
export interface Asked {
  readonly id: string;
  readonly service: string;
  readonly path: string;
  readonly unsafe: boolean;
  readonly edge: SimProxy;
  readonly life: number;
  readonly sentAt: number;
  /** Whether it is one of a flood, which nobody owes a result. */
  readonly flood: boolean;
  /** Whether its edge was out of reach of the fleet as it was sent. */
  readonly outOfReach: boolean;
  /** For how long a result was owed by then. */
  owed: number;
  doneAt: number | undefined;
  result: CallerResult | undefined;
  /** Whether it was told something after it had been told all. */
  second: boolean;
  left: boolean;
}

export interface Wish {
  readonly edge?: SimProxy | undefined;
  readonly kind?: 'read' | 'plain' | 'act' | 'long';
  readonly service?: string;
  readonly object?: number;
  readonly flood?: boolean;
}

/** Callers of a simulated fleet: sent by the platform to edges that report ready. */
export class SimCallers {
  readonly asked: Asked[] = [];
  readonly #world: World;
  #count = 0;
  #on = true;
  perSecond: number;
  /** How many leave before their result, and how often one that was refused asks again at once. */
  leaveShare = 0;
  impatience = 0;
  /** Kinds of requests that come in floods, and until when: only their own class suffers from it. */
  readonly flooded = new Map<string, number>();
  onSent: (asked: Asked) => void = () => undefined;
  onTold: (asked: Asked) => void = () => undefined;

  constructor(world: World, perSecond: number) {
    this.#world = world;
    this.perSecond = perSecond;
  }

  begin(): void {
    const next = (): void => {
      if (!this.#on) return;
      this.one();
      this.#world.agenda.after(
        (-Math.log(1 - this.#world.chance.next()) * 1000) / this.perSecond,
        next,
      );
    };
    next();
  }

  end(): void {
    this.#on = false;
  }

  one(wish: Wish = {}, again = 0): Asked | undefined {
    const world = this.#world;
    const ready = world.edges.filter((one) => one.ready);
    const to =
      wish.edge ??
      world.chance.one(ready) ??
      world.chance.one(world.edges.filter((one) => one.alive));
    if (to === undefined) return undefined;
    const service = wish.service ?? world.chance.one(world.layout.services)?.name ?? '';
    const family =
      wish.kind ?? world.chance.one(['read', 'read', 'plain', 'act'] as const) ?? 'read';
    this.#count += 1;
    const id = `q${this.#count}`;
    const path = `/${service}/${family}/${wish.object ?? world.chance.whole(0, 19)}`;
    const asked: Asked = {
      id,
      service,
      path,
      unsafe: family === 'act',
      edge: to,
      life: to.life,
      sentAt: world.agenda.now,
      flood:
        wish.flood === true ||
        again > 0 ||
        world.agenda.now < (this.flooded.get(`/${service}/${family}/`) ?? 0),
      outOfReach: world.isOut(to),
      owed: 0,
      doneAt: undefined,
      result: undefined,
      second: false,
      left: false,
    };
    this.asked.push(asked);
    this.onSent(asked);
    const leave = to.serve(
      { id, method: family === 'act' ? 'POST' : 'GET', path, fields: [['x-request-id', id]] },
      (result) => {
        asked.second ||= asked.result !== undefined;
        if (asked.result !== undefined) return;
        asked.result = result;
        asked.doneAt = world.agenda.now;
        this.onTold(asked);
        if (result.kind !== 'result' && again < this.impatience) {
          world.tried.note('callers asked again at once');
          world.agenda.after(1, () => {
            if (this.#on) this.one({ ...wish, service, kind: family }, again + 1);
          });
        }
      },
    );
    if (world.chance.hit(this.leaveShare)) {
      world.agenda.after(world.chance.between(1, 200), () => {
        if (asked.result !== undefined) return;
        asked.left = true;
        world.tried.note('R2: a caller left before its result');
        leave();
      });
    }
    return asked;
  }
}
