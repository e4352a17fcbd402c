/** Framing on a byte stream: each frame has its length and a CRC-32 checksum before it, both big-endian. */

import { crc32 } from 'node:zlib';
import { type Result, ok, err } from 'true-myth/result';
import { type Failure, failure } from '@switchwheel/types';

/** The largest body of a frame, in bytes. */
export const maxFrameBytes = 8 * 1024 * 1024;
const checksumOffset = 4;
const headerBytes = 8;

/** Puts the header before a frame's body. */
export const encodeFrame = (body: Uint8Array): Buffer => {
  const out = Buffer.allocUnsafe(headerBytes + body.length);
  out.writeUInt32BE(body.length, 0);
  out.writeUInt32BE(crc32(body), checksumOffset);
  out.set(body, headerBytes);
  return out;
};

/** Cuts a stream of bytes into frames. */
export class FrameDecoder {
  readonly #chunks: Buffer[] = [];
  #bufferedBytes = 0;

  /** Adds bytes and returns the bodies of the frames that are complete; fails if the stream is corrupt. */
  feed(bytes: Buffer): Result<readonly Uint8Array[], Failure> {
    this.#chunks.push(bytes);
    this.#bufferedBytes += bytes.length;
    const bodies: Uint8Array[] = [];
    while (this.#bufferedBytes >= headerBytes) {
      const length = this.#peek(headerBytes).readUInt32BE(0);
      if (length > maxFrameBytes) return err(failure('foreign', `a frame of ${length} bytes`));
      const frameBytes = headerBytes + length;
      if (this.#bufferedBytes < frameBytes) break;
      const frame = this.#peek(frameBytes);
      const body = frame.subarray(headerBytes, frameBytes);
      if (crc32(body) !== frame.readUInt32BE(checksumOffset))
        return err(failure('foreign', 'checksum'));
      this.#consume(frameBytes);
      bodies.push(body);
    }
    return ok(bodies);
  }

  /** A buffer that begins with the next `size` bytes, which must have arrived. */
  #peek(size: number): Buffer {
    const first = this.#chunks[0] ?? Buffer.alloc(0);
    if (first.length >= size) return first;
    const joined = Buffer.concat(this.#chunks);
    this.#chunks.splice(0, this.#chunks.length, joined);
    return joined;
  }

  #consume(size: number): void {
    const first = this.#peek(size);
    this.#bufferedBytes -= size;
    if (first.length === size) this.#chunks.shift();
    else this.#chunks[0] = first.subarray(size);
  }
}
