/**
 * Forwarded requests of an edge: sends request bodies to the leaders that the forwarding module
 * selects, and passes frames from leaders to the request they belong to.
 */

import type { Address, RequestId } from '@switchwheel/types';
import type { ForwardedRequest, Frame, FrameOf } from '@switchwheel/transport';
import type { ForwardingEffect } from '../forwarding/state.js';
import { LeaderChannels } from './leader-channels.js';
import type { HandlerContext, OpenDataChannel } from './ports.js';
import type { ForwardedRequestState } from './request-state.js';

type EffectOf<K extends ForwardingEffect['kind']> = Extract<ForwardingEffect, { kind: K }>;

/** Shown to the client of a response that arrived too late to be used. */
const staleResponseText =
  'it was under way for so long that it may be purged or past its lifetime by now';
/** Suggested retry delay for such a response. */
const staleRetryAfterMs = 250;

/** Dependencies of `ForwardedRequests`. */
export interface ForwardedRequestsOptions {
  readonly context: HandlerContext;
  readonly openChannel: OpenDataChannel;
  /** Called when a response ended early or failed verification. */
  readonly onIncomplete: () => void;
}

/** Requests that an edge has forwarded and that are not finished. */
export class ForwardedRequests {
  readonly #requests = new Map<RequestId, ForwardedRequestState>();
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

  /** Number of requests in progress. */
  get size(): number {
    return this.#requests.size;
  }

  /** Ids of the requests in progress. */
  get ids(): readonly RequestId[] {
    return [...this.#requests.keys()];
  }

  /** Adds a request before it is dispatched to the forwarding module. */
  add(request: ForwardedRequestState): void {
    this.#requests.set(request.id, request);
  }

  /** Executes an effect of the forwarding module. */
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

  /** Handles a frame from a leader; returns false for a kind that leaders don't send. */
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

  /** Returns the request that is receiving its response from `from`, if any. */
  #receiving(from: Address, id: RequestId): ForwardedRequestState | undefined {
    const request = this.#requests.get(id);
    return request?.hasResponse === true && request.leader === from ? request : undefined;
  }

  /**
   * Handles a rejection. If the response has started already, it is aborted, so that the client
   * doesn't take it for complete.
   */
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

  /** Removes a request whose response has ended. */
  #finish(request: ForwardedRequestState): void {
    this.#requests.delete(request.id);
    this.#context.dispatch((now) => ({ kind: 'responseCompleted', now, id: request.id }));
  }

  #failIncomplete(request: ForwardedRequestState, text: string): void {
    this.#onIncomplete();
    request.fail('lost', text, 0);
  }

  #abort(request: ForwardedRequestState, text: string): void {
    this.#finish(request);
    this.#failIncomplete(request, text);
  }
}
