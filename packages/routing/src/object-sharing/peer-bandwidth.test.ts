/** The limit of what other edges are sent. */

import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { toTimestamp } from '@switchwheel/types';
import { PeerBandwidth } from './peer-bandwidth.js';

const linkRate = 1_600_000;
const largest = 720_000;

void test('what other edges are sent stays under its part of the link, but for one burst and one object', () => {
  fc.assert(
    fc.property(
      fc.array(
        fc.record({
          gapMs: fc.integer({ min: 0, max: 60 }),
          bytes: fc.integer({ min: 0, max: largest }),
        }),
        { minLength: 50, maxLength: 400 },
      ),
      (asked) => {
        const uploads = new PeerBandwidth(linkRate);
        let now = 1000;
        let sent = 0;
        for (const one of asked) {
          now += one.gapMs;
          if (!uploads.reserve(toTimestamp(now))) continue;
          uploads.settle(one.bytes);
          sent += one.bytes;
        }
        const part = 0.3 * linkRate;
        assert.ok(sent <= (part * (now - 1000)) / 1000 + 0.4 * part + largest, `${sent} bytes`);
      },
    ),
    { seed: 5 },
  );
});

void test('many that wait for one fetch are reserved for: those beyond the part are refused at once', () => {
  const uploads = new PeerBandwidth(linkRate);
  const now = toTimestamp(1000);
  let taken = 0;
  while (taken < 1000 && uploads.reserve(now)) taken += 1;
  assert.ok(taken > 1 && taken < 30, `${taken} reserved`);
});

void test('a link of unknown rate is not limited', () => {
  const uploads = new PeerBandwidth(Infinity);
  for (let at = 0; at < 1000; at += 1) {
    assert.ok(uploads.reserve(toTimestamp(1000)));
    uploads.settle(largest);
  }
});
