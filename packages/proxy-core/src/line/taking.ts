import type { Fields } from '@switchwheel/transport';
import { fieldOf } from '../cache/fields.js';
import type { LegEnd } from '../keeper/state.js';
import { Seal } from './digest.js';
import type { Broke, LegEars, LegRequest } from './port.js';

export interface Whole {
  readonly status: number;
  readonly fields: Fields;
  readonly body: Buffer;
}

/** What a leg came to: how it ended, and the whole result if there is one to tell. */
export interface LegResult {
  readonly how: LegEnd;
  readonly whole: Whole | undefined;
}

/** Takes a result too large to hold: its head, then its parts as they come. */
export interface Sink {
  readonly begin: (status: number, fields: Fields, length: number | undefined) => void;
  /** Calls back when there is room for more; false if nobody takes it any longer. */
  readonly part: (bytes: Buffer, more: () => void) => boolean;
}

/** Whether the origin says plainly that it did not run the request. */
const refusedUnrun = (status: number, fields: Fields): boolean =>
  status >= 400 && (fieldOf(fields, 'switchwheel-unrun') ?? '').toLowerCase() === 'true';

const bodiless = (method: string, status: number): boolean =>
  method === 'HEAD' || status === 204 || status === 304;

interface Head {
  readonly status: number;
  readonly fields: Fields;
  readonly length: number | undefined;
  readonly chunked: boolean;
  readonly seal: Seal;
}

/** Takes one leg's result in, and trusts it only if it is the whole one of the instance that was asked. */
export class Taking implements LegEars {
  readonly #request: LegRequest;
  readonly #most: number;
  readonly #sink: Sink;
  readonly #end: (result: LegResult) => void;
  #head: Head | undefined;
  #parts: Buffer[] = [];
  #size = 0;
  #streaming = false;
  #over = false;

  constructor(request: LegRequest, most: number, sink: Sink, end: (result: LegResult) => void) {
    this.#request = request;
    this.#most = most;
    this.#sink = sink;
    this.#end = end;
  }

  get over(): boolean {
    return this.#over;
  }

  head = (status: number, fields: Fields): void => {
    if (this.#over) return;
    const named = fieldOf(fields, 'switchwheel-instance');
    if (named !== this.#request.instance) {
      this.#lost(`the answer names ${named ?? 'no instance'}, not ${this.#request.instance}`);
      return;
    }
    if (refusedUnrun(status, fields)) {
      this.#close({ how: { end: 'unrun' }, whole: undefined });
      return;
    }
    const told = fieldOf(fields, 'content-length');
    this.#head = {
      status,
      fields,
      seal: new Seal(fields),
      length: told === undefined ? undefined : Number(told),
      chunked: (fieldOf(fields, 'transfer-encoding') ?? '').toLowerCase().includes('chunked'),
    };
    if (bodiless(this.#request.method, status))
      this.#close({ how: this.#good(status), whole: { status, fields, body: Buffer.alloc(0) } });
  };

  part = (bytes: Buffer, more: () => void): void => {
    const head = this.#head;
    if (this.#over || head === undefined) return;
    this.#size += bytes.length;
    head.seal.add(bytes);
    if (this.#streaming) {
      this.#pass([bytes], more);
      return;
    }
    this.#parts.push(bytes);
    if (this.#size <= this.#most) {
      more();
      return;
    }
    if (head.length === undefined && !head.chunked) {
      this.#lost('neither a length nor an end is told');
      return;
    }
    this.#streaming = true;
    this.#sink.begin(head.status, head.fields, head.length);
    this.#pass(this.#parts.splice(0), more);
  };

  ended = (): void => {
    const head = this.#head;
    if (this.#over) return;
    if (head === undefined) {
      this.#lost('ended without a head');
      return;
    }
    const { status, fields, length, chunked, seal } = head;
    const digest = seal.verdict();
    if (length !== undefined && this.#size !== length)
      this.#lost(`${this.#size} bytes of ${length}`);
    else if (digest === 'unlike') this.#lost('the digest does not fit');
    else if (length === undefined && !chunked && digest === 'none')
      this.#lost('neither a length nor an end is told');
    else
      this.#close({
        how: this.#good(status),
        whole: this.#streaming ? undefined : { status, fields, body: Buffer.concat(this.#parts) },
      });
  };

  broke = (how: Broke): void => {
    if (!how.opened) this.#close({ how: { end: 'unopened', text: how.text }, whole: undefined });
    else if (how.slow) this.#close({ how: { end: 'slow' }, whole: undefined });
    else this.#lost(how.text);
  };

  /** The keeper wants no more of it. */
  drop(): void {
    this.#close({ how: { end: 'dropped' }, whole: undefined });
  }

  #good(status: number): LegEnd {
    return status >= 500 ? { end: 'bad', status } : { end: 'good', status };
  }

  #lost(text: string): void {
    this.#close({ how: { end: 'lost', text }, whole: undefined });
  }

  #close(result: LegResult): void {
    if (this.#over) return;
    this.#over = true;
    this.#end(result);
  }

  /** Hands parts on one after the other, each when there is room. */
  #pass(parts: Buffer[], more: () => void): void {
    const next = (): void => {
      const first = parts.shift();
      if (first === undefined) more();
      else if (!this.#over && !this.#sink.part(first, next)) this.#lost('the caller is gone');
    };
    next();
  }
}
