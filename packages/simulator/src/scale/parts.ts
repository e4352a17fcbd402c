import { createHash } from 'node:crypto';
import {
  type Timestamp,
  noSeq,
  toTimestamp,
  toServiceName,
  toDurationMs,
} from '@switchwheel/types';
import type { Service } from '@switchwheel/configuration';
import { EdgeCount, QuotaShare, defaultEdgeLimits } from '@switchwheel/routing';
import { Cache } from '@switchwheel/proxy-core';

const name = toServiceName('clips');
const restMs = 600_000;
const perSecond = 500;
const connections = 100;

const service: Service = {
  name,
  perSecond,
  connections,
  probe: { path: '/health', everyMs: 500 },
  waitlist: 256,
};

const newQuota = (many: number, now: Timestamp): QuotaShare => {
  const edges = new EdgeCount();
  edges.record(many, now);
  return new QuotaShare(defaultEdgeLimits, edges);
};

/** What so many edges together let through after a long rest, and what they may. */
export const quotaOf = (many: number): string => {
  const quotas = Array.from({ length: many }, () => newQuota(many, toTimestamp(0)));
  for (const one of quotas) {
    one.recordRequest(name, toTimestamp(0));
    one.takeOrWaitMs(service, toTimestamp(0));
  }
  const now = toTimestamp(restMs);
  let extra = 0;
  for (const one of quotas) {
    one.recordRequest(name, now);
    while (one.takeExtraAttempt(name, now)) extra += 1;
  }
  let sent = 0;
  for (let at = restMs; at < restMs + defaultEdgeLimits.rateLimitWindowMs; at += 20) {
    for (const one of quotas) while (one.takeOrWaitMs(service, toTimestamp(at)) === 0) sent += 1;
  }
  const mayExtra = Math.round(
    defaultEdgeLimits.extraAttemptRatio * many + defaultEdgeLimits.extraAttemptSlack,
  );
  const maySend = Math.round(
    (defaultEdgeLimits.rateLimitOverageFactor * perSecond * defaultEdgeLimits.rateLimitWindowMs) /
      1000,
  );
  const rooms = quotas.reduce((sum, one) => sum + one.maxConnectionsPerEndpoint(service), 0);
  return `${many} edges: extra legs ${extra} of ${mayExtra}, under a ceiling ${sent} of ${maySend}, connections ${rooms} of ${connections}`;
};

/** Heap that the index of a cache takes for each entry without its bytes; run with --expose-gc. */
export const indexOf = (many: number): string => {
  globalThis.gc?.();
  const before = process.memoryUsage().heapUsed;
  const cache = new Cache(1e12);
  for (let at = 0; at < many; at += 1) {
    const key = {
      route: 'clips-read',
      host: 'www.example-customer.com',
      path: `/clips/objects/${at}/image.jpg`,
      query: '',
    };
    const fields: [string, string][] = [
      ['content-type', 'image/jpeg'],
      ['content-length', '0'],
      ['cache-control', 'max-age=86400'],
    ];
    const digest = createHash('sha256').update(String(at)).digest('base64');
    cache.store(
      {
        key,
        status: 200,
        fields,
        body: Buffer.alloc(0),
        digest,
        createdAt: toTimestamp(1000),
        lifetimeMs: toDurationMs(86_400_000),
        tags: [`t${at % 1000}`],
      },
      [],
      [],
      noSeq,
      toTimestamp(1000),
    );
  }
  globalThis.gc?.();
  return `${cache.size} entries: ${Math.round((process.memoryUsage().heapUsed - before) / many)} bytes of heap each`;
};
