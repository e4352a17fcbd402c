import { type Timestamp, elapsedMs, clockOrigin } from '@switchwheel/types';

/** Tokens that time and requests fill up to a depth, and that what is sent takes. */
export interface Bucket {
  readonly level: number;
  readonly at: Timestamp;
}

/** How a bucket fills: tokens a second, and the most it holds. */
export interface Rate {
  readonly perSecond: number;
  readonly depth: number;
}

/** A new bucket is empty: whoever restarts has no claim from before. */
export const newBucket = (now: Timestamp = clockOrigin): Bucket => ({ level: 0, at: now });

export const fill = (bucket: Bucket, rate: Rate, now: Timestamp): Bucket => ({
  level: Math.min(
    rate.depth,
    bucket.level + (Math.max(0, elapsedMs(bucket.at, now)) / 1000) * rate.perSecond,
  ),
  at: now,
});

/** Tokens that are earned by something else than time. */
export const earn = (bucket: Bucket, rate: Rate, many: number): Bucket => ({
  ...bucket,
  level: Math.min(rate.depth, bucket.level + many),
});

/** Takes one token; nothing if there is none. */
export const take = (bucket: Bucket, rate: Rate, now: Timestamp): Bucket | undefined => {
  const full = fill(bucket, rate, now);
  return full.level < 1 ? undefined : { ...full, level: full.level - 1 };
};

/** In how many milliseconds there will be a token. */
export const waitOf = (bucket: Bucket, rate: Rate, now: Timestamp): number => {
  const { level } = fill(bucket, rate, now);
  return level >= 1 ? 0 : rate.perSecond <= 0 ? 1000 : ((1 - level) / rate.perSecond) * 1000;
};
