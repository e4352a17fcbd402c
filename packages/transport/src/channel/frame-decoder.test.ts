/** Guards against lost or garbled frames where TCP splits or joins them. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import * as fc from 'fast-check';
import { FrameDecoder, encodeFrame } from './frame-decoder.js';

void test('frames are decoded as they were encoded, regardless of how the stream is split', () => {
  fc.assert(
    fc.property(
      fc.array(fc.uint8Array({ maxLength: 300 }), { maxLength: 8 }),
      fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 30 }),
      (bodies, partSizes) => {
        const stream = Buffer.concat(bodies.map(encodeFrame));
        const decoder = new FrameDecoder();
        const decoded: Uint8Array[] = [];
        let offset = 0;
        for (let part = 0; offset < stream.length; part += 1) {
          const size = partSizes[part % partSizes.length] ?? 1;
          decoded.push(...decoder.feed(stream.subarray(offset, offset + size)).unwrapOr([]));
          offset += size;
        }
        assert.deepEqual(
          decoded.map((body) => Buffer.from(body).toString('hex')),
          bodies.map((body) => Buffer.from(body).toString('hex')),
        );
      },
    ),
    { seed: 3, numRuns: 200 },
  );
});
