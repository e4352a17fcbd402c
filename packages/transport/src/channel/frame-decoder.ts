/** Framing of a byte stream: each frame is preceded by its length and its CRC-32 checksum, both big-endian. */

import { crc32 } from 'node:zlib';
import { type Result, ok, err } from 'true-myth/result';
import { type Failure, failure } from '@switchwheel/types';

/** Maximum size of a frame's body. */
export const maxFrameBytes = 8 * 1024 * 1024;
const checksumOffset = 4;
const headerBytes = 8;

/** Prepends the header to a frame's body. */
export const encodeFrame = (body: Uint8Array): Buffer => {
  const encoded = Buffer.allocUnsafe(headerBytes + body.length);
  encoded.writeUInt32BE(body.length, 0);
  encoded.writeUInt32BE(crc32(body), checksumOffset);
  encoded.set(body, headerBytes);
  return encoded;
};

/** Splits a byte stream into the bodies of its frames. */
export class FrameDecoder {
  readonly #chunks: Buffer[] = [];
  #bufferedBytes = 0;

  /** Adds bytes and returns the bodies of the frames that are now complete; fails if the stream is corrupt. */
  feed(bytes: Buffer): Result<readonly Uint8Array[], Failure> {
    this.#chunks.push(bytes);
    this.#bufferedBytes += bytes.length;
    const bodies: Uint8Array[] = [];
    while (this.#bufferedBytes >= headerBytes) {
      const length = this.#peek(headerBytes).readUInt32BE(0);
      if (length > maxFrameBytes)
        return err(failure('foreign', `frame of ${length} bytes exceeds the maximum size`));
      const frameBytes = headerBytes + length;
      if (this.#bufferedBytes < frameBytes) break;
      const frame = this.#peek(frameBytes);
      const body = frame.subarray(headerBytes, frameBytes);
      if (crc32(body) !== frame.readUInt32BE(checksumOffset))
        return err(failure('foreign', 'frame checksum mismatch'));
      this.#consume(frameBytes);
      bodies.push(body);
    }
    return ok(bodies);
  }

  /** Returns a buffer that starts with the next `size` bytes, which must have been received. */
  #peek(size: number): Buffer {
    const firstChunk = this.#chunks[0] ?? Buffer.alloc(0);
    if (firstChunk.length >= size) return firstChunk;
    const joined = Buffer.concat(this.#chunks);
    this.#chunks.splice(0, this.#chunks.length, joined);
    return joined;
  }

  #consume(size: number): void {
    const buffer = this.#peek(size);
    this.#bufferedBytes -= size;
    if (buffer.length === size) this.#chunks.shift();
    else this.#chunks[0] = buffer.subarray(size);
  }
}
