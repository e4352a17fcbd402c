/** Immutable token buckets: tokens are added over time or explicitly, up to a capacity, and taken by each request. */

import { type Timestamp, clockOrigin, elapsedMs } from '@switchwheel/types';

/** Number of tokens at the time of the last refill. */
export interface TokenBucket {
  readonly tokens: number;
  readonly refilledAt: Timestamp;
}

/** Refill rate and capacity of a bucket. */
export interface RefillRate {
  readonly tokensPerSecond: number;
  readonly capacity: number;
}

/** Delay reported for a bucket that never refills. */
const noRefillDelayMs = 1000;

/** Returns an empty bucket, so that a restarted process gains no tokens. */
export const newTokenBucket = (now: Timestamp = clockOrigin): TokenBucket => ({
  tokens: 0,
  refilledAt: now,
});

/** Returns the bucket with the tokens added until `now`. */
export const refill = (bucket: TokenBucket, rate: RefillRate, now: Timestamp): TokenBucket => {
  const seconds = Math.max(0, elapsedMs(bucket.refilledAt, now)) / 1000;
  return {
    tokens: Math.min(rate.capacity, bucket.tokens + seconds * rate.tokensPerSecond),
    refilledAt: now,
  };
};

/** Adds tokens, up to the capacity. */
export const addTokens = (bucket: TokenBucket, rate: RefillRate, count: number): TokenBucket => ({
  ...bucket,
  tokens: Math.min(rate.capacity, bucket.tokens + count),
});

/** Takes one token; returns undefined if there is none. */
export const takeToken = (
  bucket: TokenBucket,
  rate: RefillRate,
  now: Timestamp,
): TokenBucket | undefined => {
  const refilled = refill(bucket, rate, now);
  return refilled.tokens < 1 ? undefined : { ...refilled, tokens: refilled.tokens - 1 };
};

/** Returns the time in milliseconds until `count` tokens have become available, if each is taken at once. */
export const tokenDelayMs = (
  bucket: TokenBucket,
  rate: RefillRate,
  count: number,
  now: Timestamp,
): number => {
  const { tokens } = refill(bucket, rate, now);
  if (tokens >= count) return 0;
  if (rate.tokensPerSecond <= 0) return noRefillDelayMs;
  return ((count - tokens) / rate.tokensPerSecond) * 1000;
};
