import type { Address } from '@switchwheel/types';
import {
  type OriginResponse,
  type AttemptHandlers,
  type AttemptRequest,
  type OriginClient,
  defaultHeaderNames,
} from '@switchwheel/routing';
import type { Agenda } from '../world/agenda.js';
import type { Chance } from '../world/chance.js';
import type { Conduct, OriginFleet, SimulatedOrigin } from './origin.js';

/** What stands in the body of an object at a revision. */
export const objectBody = (target: string, revision: number): string => `${target}@${revision}`;

/** One attempt of a request, as it left the edge. */
export interface SentAttempt {
  readonly at: number;
  readonly id: string;
  readonly address: Address;
}

/** How late a late answer is, in milliseconds: sometimes after the request's deadline. */
const lateMs = [300, 2600] as const;

/** Statuses that promise that nothing ran, given here by origins that did run the request. */
const falsePromises = [408, 429, 503] as const;

/** Carries requests to simulated origins in the way that the socket port reports them. */
export class SimulatedLegs implements OriginClient {
  readonly sent: SentAttempt[] = [];
  readonly #agenda: Agenda;
  readonly #chance: Chance;
  readonly #fleet: OriginFleet;
  readonly #revisionOf: (target: string) => number;

  constructor(
    agenda: Agenda,
    chance: Chance,
    fleet: OriginFleet,
    revisionOf: (target: string) => number,
  ) {
    this.#agenda = agenda;
    this.#chance = chance;
    this.#fleet = fleet;
    this.#revisionOf = revisionOf;
  }

  forget(): void {
    // Idle connections bear nothing here: bytes left on them are among the conducts.
  }

  send(order: AttemptRequest, ears: AttemptHandlers): () => void {
    this.sent.push({ at: this.#agenda.now, id: order.id, address: order.address });
    let cut = false;
    const conduct = this.#fleet.conduct();
    // What is cut on its way may arrive all the same.
    const arrivesAnyway = this.#chance.hit(0.5);
    const report = (tell: () => void): void => {
      if (!cut) tell();
    };
    this.#agenda.after(this.#chance.between(0.2, 5), () => {
      if (cut && !arrivesAnyway) return;
      const origin = this.#fleet.at(order.address);
      if (conduct === 'unopened' || origin === undefined)
        report(() => ears.onFailure(false, 'the connection did not open'));
      else if (!names(order, origin))
        report(() => ears.onResponse({ ...plain(421, ''), isUnprocessed: true }));
      else this.#work(order, origin, conduct, ears, report);
    });
    return () => {
      cut = true;
    };
  }

  #work(
    order: AttemptRequest,
    origin: SimulatedOrigin,
    conduct: Conduct,
    ears: AttemptHandlers,
    report: (tell: () => void) => void,
  ): void {
    const broke = (): void => report(() => ears.onFailure(true, conduct));
    if (conduct === 'reset before') {
      broke();
      return;
    }
    if (conduct === 'full') {
      report(() => ears.onResponse({ ...plain(503, ''), isUnprocessed: true }));
      return;
    }
    this.#fleet.run(origin, order);
    if (conduct === 'silent') return;
    const body =
      order.method === 'GET'
        ? objectBody(order.target, this.#revisionOf(order.target))
        : `done ${order.id}`;
    const [least, most] = conduct === 'late' ? lateMs : [2, 60];
    this.#agenda.after(this.#chance.between(least, most), () => {
      if (conduct === 'answer' || conduct === 'late')
        report(() => ears.onResponse(plain(200, body)));
      else if (conduct === 'failure') report(() => ears.onResponse(plain(500, 'failed')));
      else if (conduct === 'false promise') {
        const status = this.#chance.one(falsePromises) ?? 503;
        report(() => ears.onResponse(plain(status, 'failed')));
      } else broke();
    });
  }
}

/** Whether the request names this origin, or none: only then does it run. */
const names = (order: AttemptRequest, origin: SimulatedOrigin): boolean => {
  const named = order.fields.find(([name]) => name === defaultHeaderNames.targetInstance);
  return named === undefined || named[1] === origin.instance;
};

const plain = (status: number, body: string): OriginResponse => ({
  status,
  fields: [],
  body: Buffer.from(body),
  isUnprocessed: false,
});
