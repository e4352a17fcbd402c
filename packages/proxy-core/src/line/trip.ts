import { createHash, type Hash } from 'node:crypto';
import type { Address, RequestId, Seq } from '@switchwheel/types';
import type { Fields, FrameOf } from '@switchwheel/transport';
import type { Caller, Spout } from './port.js';

/** What a forwarded request came to; a result in parts went to its caller as it came. */
export type Outcome =
  | {
      readonly kind: 'whole';
      readonly status: number;
      readonly fields: Fields;
      readonly body: Buffer;
      readonly digest: string;
      readonly age: number;
      readonly purged: Seq;
      readonly from: string;
    }
  | {
      readonly kind: 'fault';
      readonly fault: FrameOf<'reject'>['errorKind'];
      readonly text: string;
      readonly retryMs: number;
    }
  | { readonly kind: 'streamed' };

/** What became of what came in for a trip; a late result is right, but not sure to be good any more. */
export type Turn = 'on' | 'over' | 'broken' | 'late';

type Stage =
  | { readonly stage: 'asked' }
  | { readonly stage: 'holding'; readonly result: FrameOf<'result'>; readonly parts: Buffer[] }
  | { readonly stage: 'streaming'; readonly result: FrameOf<'result'>; readonly spout: Spout };

/** One forwarded request at its edge: its body, and its result as it comes in. */
export class Trip {
  readonly id: RequestId;
  readonly body: Uint8Array;
  /** Whether a result with these fields comes too late to be told. */
  readonly #late: (fields: Fields) => boolean;
  readonly end: (outcome: Outcome) => void;
  readonly #caller: Caller;
  readonly #most: number;
  readonly #sum: Hash = createHash('sha256');
  #stage: Stage = { stage: 'asked' };
  #size = 0;
  /** The newest part of a stream stays here until what follows it, or the end, is known to be right. */
  #held: { readonly bytes: Buffer; readonly more: () => void } | undefined;
  keeper: Address | undefined;

  constructor(
    id: RequestId,
    body: Uint8Array,
    caller: Caller,
    most: number,
    late: (fields: Fields) => boolean,
    end: (outcome: Outcome) => void,
  ) {
    this.id = id;
    this.body = body;
    this.#caller = caller;
    this.#most = most;
    this.#late = late;
    this.end = end;
  }

  get begun(): boolean {
    return this.#stage.stage !== 'asked';
  }

  begin(frame: FrameOf<'result'>): Turn {
    this.#stage = { stage: 'holding', result: frame, parts: [] };
    if (!frame.streamed) return 'on';
    if (this.#late(frame.fields)) return 'late';
    this.#stage = {
      stage: 'streaming',
      result: frame,
      spout: this.#caller.stream(frame.status, frame.fields, frame.length),
    };
    this.end({ kind: 'streamed' });
    return 'on';
  }

  /** Takes bytes in; calls back when there is room for as many more. */
  add(bytes: Buffer, more: () => void): Turn {
    const stage = this.#stage;
    if (stage.stage === 'asked') return 'on';
    this.#size += bytes.length;
    this.#sum.update(bytes);
    if (stage.stage === 'holding') {
      stage.parts.push(bytes);
      return this.#size > this.#most ? 'broken' : 'on';
    }
    const told = stage.result.length;
    if (told !== undefined && this.#size > told) return 'broken';
    const before = this.#held;
    this.#held = { bytes, more };
    if (before !== undefined) stage.spout.write(before.bytes, before.more);
    return 'on';
  }

  /** The keeper says that all of it went out: it counts only if it is what came in. */
  finish(frame: FrameOf<'done'>): Turn {
    const stage = this.#stage;
    if (stage.stage === 'asked') return 'on';
    const { result } = stage;
    const digest = this.#sum.digest('base64');
    const fits =
      digest === frame.digest &&
      this.#size === frame.length &&
      (result.length === undefined || result.length === this.#size);
    if (!fits) return 'broken';
    if (stage.stage === 'holding') {
      const { status, fields, age, purged } = result;
      if (this.#late(fields)) return 'late';
      this.end({
        kind: 'whole',
        status,
        fields,
        body: Buffer.concat(stage.parts),
        digest,
        age,
        purged,
        from: result.from === 'cache' ? 'shield' : 'origin',
      });
      return 'over';
    }
    if (this.#held !== undefined) stage.spout.write(this.#held.bytes, () => undefined);
    stage.spout.end();
    return 'over';
  }

  /** Ends it without a whole result: one that is already being told breaks off so that the caller sees it. */
  fail(fault: FrameOf<'reject'>['errorKind'], text: string, retryMs: number): void {
    if (this.#stage.stage === 'streaming') this.#stage.spout.snap(text);
    else this.end({ kind: 'fault', fault, text, retryMs });
  }
}
