import { type Timestamp, elapsedMs, clockOrigin } from '@switchwheel/types';

/** Tokens that time and requests fill up to a depth, and that what is sent takes. */
export interface TokenBucket {
  readonly tokens: number;
  readonly refilledAt: Timestamp;
}

/** How a bucket fills: tokens a second, and the most it holds. */
export interface RefillRate {
  readonly tokensPerSecond: number;
  readonly capacity: number;
}

/** A new bucket is empty: whoever restarts has no claim from before. */
export const newTokenBucket = (now: Timestamp = clockOrigin): TokenBucket => ({
  tokens: 0,
  refilledAt: now,
});

export const refill = (bucket: TokenBucket, rate: RefillRate, now: Timestamp): TokenBucket => ({
  tokens: Math.min(
    rate.capacity,
    bucket.tokens + (Math.max(0, elapsedMs(bucket.refilledAt, now)) / 1000) * rate.tokensPerSecond,
  ),
  refilledAt: now,
});

/** Tokens that are earned by something else than time. */
export const addTokens = (bucket: TokenBucket, rate: RefillRate, many: number): TokenBucket => ({
  ...bucket,
  tokens: Math.min(rate.capacity, bucket.tokens + many),
});

/** Takes one token; nothing if there is none. */
export const takeToken = (
  bucket: TokenBucket,
  rate: RefillRate,
  now: Timestamp,
): TokenBucket | undefined => {
  const full = refill(bucket, rate, now);
  return full.tokens < 1 ? undefined : { ...full, tokens: full.tokens - 1 };
};

/** In how many milliseconds there will be a token. */
export const waitForTokenMs = (bucket: TokenBucket, rate: RefillRate, now: Timestamp): number => {
  const { tokens } = refill(bucket, rate, now);
  return tokens >= 1
    ? 0
    : rate.tokensPerSecond <= 0
      ? 1000
      : ((1 - tokens) / rate.tokensPerSecond) * 1000;
};
