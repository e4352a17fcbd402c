import type { ServiceName } from '@switchwheel/types';

/** What a simulated operator hands over: a good description, one that may not be taken, or a very large one. */
export type ConfigurationVariant = 'plain' | 'invalid' | 'huge';

interface ConfiguredFleet {
  readonly services: readonly {
    readonly name: ServiceName;
    readonly perSecond: number | undefined;
    readonly hedgeMs?: number;
  }[];
}

const hugeRouteCount = 1500;

/** The second service's objects live shortly. */
export const cacheLifetimeOf = (service: string): number => (service === 'acts' ? 1000 : 4000);

/** A description for simulated fleets; `mark` only makes it unlike others. */
export const createConfiguration = (
  layout: ConfiguredFleet,
  marker: number,
  variant: ConfigurationVariant = 'plain',
): object => ({
  format: 1,
  classes: [
    { name: 'read', latencyMs: 200, share: 0.5, lendsTo: ['bulk'] },
    { name: 'act', latencyMs: 400, share: variant === 'invalid' && marker % 2 === 0 ? 0.6 : 0.3 },
    { name: 'bulk', share: 0.1 },
  ],
  services: layout.services.map((one) => ({
    name: one.name,
    waitlist: 200 + (marker % 100),
    ...(one.perSecond === undefined ? {} : { perSecond: one.perSecond }),
    ...(one.hedgeMs === undefined ? {} : { hedgeMs: one.hedgeMs }),
  })),
  routes: [
    ...layout.services.flatMap((one) => [
      {
        name: `${one.name}-read`,
        prefix: `/${one.name}/read/`,
        service: one.name,
        class: 'read',
        timeoutMs: 3000,
        cache: { lifetimeMs: cacheLifetimeOf(one.name) },
      },
      {
        name: `${one.name}-plain`,
        prefix: `/${one.name}/plain/`,
        service: one.name,
        class: 'bulk',
        timeoutMs: 3000,
      },
      {
        name: `${one.name}-long`,
        prefix: `/${one.name}/long/`,
        service: one.name,
        class: 'bulk',
        timeoutMs: 20_000,
      },
      {
        name: `${one.name}-act`,
        prefix: `/${one.name}/act/`,
        methods: ['POST'],
        service: one.name,
        class: 'act',
        timeoutMs: 3000,
      },
      {
        name: `mark-${marker}-${one.name}`,
        path: `/${one.name}/mark/${marker}`,
        service: variant === 'invalid' && marker % 2 === 1 ? 'nobody' : one.name,
        class: 'bulk',
      },
    ]),
    ...Array.from({ length: variant === 'huge' ? hugeRouteCount : 0 }, (_, at) => ({
      name: `huge-${at}`,
      path: `/huge/${at}/${at % 7 === 0 ? marker : 0}`,
      service: layout.services[0]?.name ?? '',
      class: 'bulk',
    })),
  ],
});
