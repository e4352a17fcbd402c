/** Token buckets as values: tokens come in with time, or are earned, up to a capacity; what is sent takes them. */

import { type Timestamp, clockOrigin, elapsedMs } from '@switchwheel/types';

/** How many tokens there were, and when. */
export interface TokenBucket {
  readonly tokens: number;
  readonly refilledAt: Timestamp;
}

/** How a bucket refills, and how many tokens it holds at most. */
export interface RefillRate {
  readonly tokensPerSecond: number;
  readonly capacity: number;
}

/** How long to wait for a token of a bucket that never refills. */
const noRefillDelayMs = 1000;

/** A new bucket is empty: a process that restarts has no claim from before. */
export const newTokenBucket = (now: Timestamp = clockOrigin): TokenBucket => ({
  tokens: 0,
  refilledAt: now,
});

/** The bucket with the tokens that have come in until now. */
export const refill = (bucket: TokenBucket, rate: RefillRate, now: Timestamp): TokenBucket => {
  const seconds = Math.max(0, elapsedMs(bucket.refilledAt, now)) / 1000;
  return {
    tokens: Math.min(rate.capacity, bucket.tokens + seconds * rate.tokensPerSecond),
    refilledAt: now,
  };
};

/** Adds tokens that were earned by something else than time. */
export const addTokens = (bucket: TokenBucket, rate: RefillRate, count: number): TokenBucket => ({
  ...bucket,
  tokens: Math.min(rate.capacity, bucket.tokens + count),
});

/** Takes one token; undefined if there is none. */
export const takeToken = (
  bucket: TokenBucket,
  rate: RefillRate,
  now: Timestamp,
): TokenBucket | undefined => {
  const refilled = refill(bucket, rate, now);
  return refilled.tokens < 1 ? undefined : { ...refilled, tokens: refilled.tokens - 1 };
};

/** In how many milliseconds there will be a token. */
export const nextTokenDelayMs = (bucket: TokenBucket, rate: RefillRate, now: Timestamp): number => {
  const { tokens } = refill(bucket, rate, now);
  if (tokens >= 1) return 0;
  return rate.tokensPerSecond <= 0 ? noRefillDelayMs : ((1 - tokens) / rate.tokensPerSecond) * 1000;
};
