/**
 * The forwarded requests of an edge: their bodies go to the leaders that the forwarding chose, and
 * what the leaders send back goes to the request that it is for.
 */

import type { Address, RequestId } from '@switchwheel/types';
import type { ForwardedRequest, Frame, FrameOf } from '@switchwheel/transport';
import type { ForwardingEffect } from '../forwarding/state.js';
import { LeaderChannels } from './leader-channels.js';
import type { HandlerContext, OpenDataChannel } from './ports.js';
import type { RequestState } from './request-state.js';

type EffectOf<K extends ForwardingEffect['kind']> = Extract<ForwardingEffect, { kind: K }>;

/** Shown to the client of a response that came too late to be used. */
const staleResponseText =
  'it was under way for so long that it may be purged or past its lifetime by now';
/** When the client of such a response may come back. */
const staleRetryAfterMs = 250;

/** What the forwarded requests stand on. */
export interface ForwardedRequestsOptions {
  readonly context: HandlerContext;
  readonly openChannel: OpenDataChannel;
  /** A response broke off, or did not arrive as it was sent. */
  readonly onIncomplete: () => void;
}

/** The requests that an edge has forwarded and not yet finished. */
export class ForwardedRequests {
  readonly #requests = new Map<RequestId, RequestState>();
  readonly #context: HandlerContext;
  readonly #channels: LeaderChannels;
  readonly #onIncomplete: () => void;

  constructor({ context, openChannel, onIncomplete }: ForwardedRequestsOptions) {
    this.#context = context;
    this.#onIncomplete = onIncomplete;
    this.#channels = new LeaderChannels(openChannel, {
      onFrame: (from, frame) => this.#onFrame(from, frame),
      onLost: (leader, unsentIds) => this.#onChannelLost(leader, unsentIds),
    });
  }

  /** How many requests are under way. */
  get size(): number {
    return this.#requests.size;
  }

  /** The ids of the requests that are under way. */
  get ids(): readonly RequestId[] {
    return [...this.#requests.keys()];
  }

  /** Adds a request that the forwarding is about to take on. */
  add(request: RequestState): void {
    this.#requests.set(request.id, request);
  }

  /** Does what the forwarding decided. */
  run(effect: ForwardingEffect): void {
    switch (effect.kind) {
      case 'sendRequest':
        this.#sendRequest(effect);
        break;
      case 'cancelRequest':
        this.#channels.sendControl(effect.to, { kind: 'quit', id: effect.id });
        break;
      case 'startResponse':
        this.#startResponse(effect);
        break;
      case 'failRequest': {
        const request = this.#requests.get(effect.id);
        this.#requests.delete(effect.id);
        request?.fail(effect.errorKind, effect.text, effect.retryAfterMs);
        break;
      }
    }
  }

  #sendRequest(effect: EffectOf<'sendRequest'>): void {
    const request = this.#requests.get(effect.request.id);
    if (request === undefined) return;
    request.leader = effect.to;
    const forwarded: ForwardedRequest = { ...effect.request, body: request.body };
    this.#channels.sendRequest(effect.to, forwarded);
  }

  #startResponse(effect: EffectOf<'startResponse'>): void {
    const request = this.#requests.get(effect.id);
    if (request?.startResponse(effect.frame) !== 'stale') return;
    this.#channels.sendControl(effect.to, { kind: 'quit', id: effect.id });
    this.#abort(request, staleResponseText);
  }

  #onChannelLost(leader: Address, unsentIds: ReadonlySet<RequestId>): void {
    for (const request of [...this.#requests.values()])
      if (request.leader === leader && request.hasResponse)
        this.#abort(request, 'the channel to the keeper ended');
    this.#context.dispatch((now) => ({ kind: 'channelLost', now, leader, unsentIds }));
  }

  /** Takes a frame of a leader in; false if it is none that leaders send. */
  #onFrame(from: Address, frame: Frame): boolean {
    switch (frame.kind) {
      case 'result':
        this.#context.dispatch((now) => ({ kind: 'responseStarted', now, from, frame }));
        return true;
      case 'begun':
        this.#context.dispatch((now) => ({ kind: 'attemptStarted', now, from, id: frame.id }));
        return true;
      case 'reject':
        this.#onReject(from, frame);
        return true;
      case 'chunk':
        this.#onChunk(from, frame);
        return true;
      case 'done':
        this.#onDone(from, frame);
        return true;
      default:
        return false;
    }
  }

  /** The request whose response a leader sends, if that is the leader that was asked. */
  #receiving(from: Address, id: RequestId): RequestState | undefined {
    const request = this.#requests.get(id);
    return request?.hasResponse === true && request.leader === from ? request : undefined;
  }

  /** A response that had begun broke off: the client must not take it for complete. */
  #onReject(from: Address, frame: FrameOf<'reject'>): void {
    const request = this.#receiving(from, frame.id);
    if (request !== undefined) this.#abort(request, frame.text);
    this.#context.dispatch((now) => ({ kind: 'requestRejected', now, from, frame }));
  }

  #onChunk(from: Address, frame: FrameOf<'chunk'>): void {
    const request = this.#receiving(from, frame.id);
    if (request === undefined) return;
    const bytes = Buffer.from(frame.bytes);
    const result = request.addChunk(bytes, () =>
      this.#channels.sendControl(from, { kind: 'credit', id: frame.id, bytes: bytes.length }),
    );
    if (result === 'corrupt') this.#abort(request, 'more bytes than told');
  }

  #onDone(from: Address, frame: FrameOf<'done'>): void {
    const request = this.#receiving(from, frame.id);
    if (request === undefined) return;
    this.#finish(request);
    const result = request.finish(frame);
    if (result === 'corrupt')
      this.#failIncomplete(request, 'the digest between edge and keeper does not fit');
    else if (result === 'stale') request.fail('lost', staleResponseText, staleRetryAfterMs);
  }

  /** Nothing more comes in for a request. */
  #finish(request: RequestState): void {
    this.#requests.delete(request.id);
    this.#context.dispatch((now) => ({ kind: 'responseCompleted', now, id: request.id }));
  }

  #failIncomplete(request: RequestState, text: string): void {
    this.#onIncomplete();
    request.fail('lost', text, 0);
  }

  #abort(request: RequestState, text: string): void {
    this.#finish(request);
    this.#failIncomplete(request, text);
  }
}
