import { crc32 } from 'node:zlib';
import { type Result, ok, err } from 'true-myth/result';
import { type Failure, failure } from '@switchwheel/types';

/** The most one frame may weigh. */
export const maxFrameBytes = 8 * 1024 * 1024;
const headerBytes = 8;

/** Puts length and checksum before a frame's bytes. */
export const encodeFrame = (body: Uint8Array): Buffer => {
  const out = Buffer.allocUnsafe(headerBytes + body.length);
  out.writeUInt32BE(body.length, 0);
  out.writeUInt32BE(crc32(body), 4);
  out.set(body, headerBytes);
  return out;
};

/** Cuts a stream of bytes back into frames. */
export class FrameDecoder {
  readonly #parts: Buffer[] = [];
  #size = 0;

  /** Takes bytes in; gives the whole frames that are now there. */
  feed(bytes: Buffer): Result<readonly Uint8Array[], Failure> {
    this.#parts.push(bytes);
    this.#size += bytes.length;
    const out: Uint8Array[] = [];
    while (this.#size >= headerBytes) {
      const top = this.#gather(headerBytes);
      const length = top.readUInt32BE(0);
      if (length > maxFrameBytes) return err(failure('foreign', `a frame of ${length} bytes`));
      if (this.#size < headerBytes + length) break;
      const whole = this.#gather(headerBytes + length);
      const body = whole.subarray(headerBytes, headerBytes + length);
      if (crc32(body) !== whole.readUInt32BE(4)) return err(failure('foreign', 'checksum'));
      this.#drop(headerBytes + length);
      out.push(body);
    }
    return ok(out);
  }

  #gather(size: number): Buffer {
    const first = this.#parts[0] ?? Buffer.alloc(0);
    if (first.length >= size) return first;
    const whole = Buffer.concat(this.#parts);
    this.#parts.splice(0, this.#parts.length, whole);
    return whole;
  }

  #drop(size: number): void {
    const first = this.#gather(size);
    this.#size -= size;
    if (first.length === size) this.#parts.shift();
    else this.#parts[0] = first.subarray(size);
  }
}
