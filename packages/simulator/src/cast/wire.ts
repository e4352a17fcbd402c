import {
  type Frame,
  keepaliveIntervalMs,
  deserializeFrame,
  serializeFrame,
  keepaliveTimeoutMs,
} from '@switchwheel/transport';
import {
  type DataChannel,
  type DataChannelHandlers,
  connectTimeoutMs,
} from '@switchwheel/proxy-core';
import type { Actor, Stage } from '../world/actor.js';

interface End {
  readonly actor: Actor;
  readonly life: number;
  readonly lane: { free: number };
  ears: Omit<DataChannelHandlers, 'up'> | undefined;
  heard: number;
  over: boolean;
}

const newEnd = (actor: Actor, now: number): End => ({
  actor,
  life: actor.life,
  lane: { free: 0 },
  ears: undefined,
  heard: now,
  over: false,
});

/** A data channel between two processes: it keeps order, loses nothing while it stands, and ends when one side dies or is silent. */
export class Wire {
  readonly #stage: Stage;
  readonly #near: End;
  readonly #far: End | undefined;
  #up = false;

  constructor(
    stage: Stage,
    from: Actor,
    to: Actor | undefined,
    ears: DataChannelHandlers,
    accept: (channel: DataChannel) => Omit<DataChannelHandlers, 'up'>,
  ) {
    this.#stage = stage;
    this.#near = newEnd(from, stage.agenda.now);
    this.#near.ears = ears;
    this.#far = to === undefined ? undefined : newEnd(to, stage.agenda.now);
    const far = this.#far;
    from.later(stage.chance.between(1, 6), () => {
      if (far === undefined || !this.#lives(far)) {
        this.#close(this.#near);
        return;
      }
      if (far.actor.frozen || !this.#open(this.#near, far) || !this.#open(far, this.#near)) {
        from.later(connectTimeoutMs, () => {
          if (!this.#up) this.#close(this.#near);
        });
        return;
      }
      this.#up = true;
      far.ears = accept(this.channel(far));
      for (const end of [this.#near, far]) {
        end.heard = stage.agenda.now;
        this.#beat(end);
      }
      ears.up();
    });
  }

  channel(end: End = this.#near): DataChannel {
    return { send: (frame) => this.#send(end, frame), terminate: () => this.#close(end) };
  }

  /** The other side's process is known to be gone. */
  gone(): void {
    this.#close(this.#near);
  }

  #other(end: End): End | undefined {
    return end === this.#near ? this.#far : this.#near;
  }

  #lives(end: End): boolean {
    return end.actor.alive && end.actor.life === end.life;
  }

  #open(from: End, to: End): boolean {
    return this.#stage.net.open(from.actor.node, to.actor.node);
  }

  #send(end: End, frame: Frame): void {
    const to = this.#other(end);
    if (to === undefined || end.over) return;
    const told = this.#stage.chance.hit(0.02)
      ? deserializeFrame(serializeFrame(frame)).unwrapOrElse((fault) => {
          throw new Error(`${frame.kind}: ${fault.text}`);
        })
      : frame;
    this.#stage.net.stream(end.actor.node, to.actor.node, end.lane, () => {
      to.heard = this.#stage.agenda.now;
      if (!to.over)
        to.actor.act(() => {
          if (!to.over) to.ears?.frame(told);
        }, to.life);
    });
  }

  #beat(end: End): void {
    end.actor.later(keepaliveIntervalMs, () => {
      const other = this.#other(end);
      if (end.over || other === undefined) return;
      const now = this.#stage.agenda.now;
      if (this.#lives(other) && !other.over && !other.actor.frozen && this.#open(other, end))
        end.heard = now;
      if (now - end.heard > keepaliveTimeoutMs) this.#close(end);
      else this.#beat(end);
    });
  }

  #close(end: End): void {
    if (end.over) return;
    end.over = true;
    end.ears?.closed();
    const other = this.#other(end);
    if (other === undefined) return;
    this.#stage.net.stream(end.actor.node, other.actor.node, end.lane, () =>
      other.actor.act(() => this.#close(other), other.life),
    );
  }
}
