/** Configurations of simulated fleets: valid, invalid and very large ones. */

import type { ServiceName } from '@switchwheel/types';

/** Kind of configuration that an operator applies: valid, one that must be rejected, or very large. */
export type ConfigurationVariant = 'plain' | 'invalid' | 'huge';

interface ConfiguredFleet {
  readonly services: readonly {
    readonly name: ServiceName;
    readonly perSecond: number | undefined;
    readonly hedgeMs?: number;
  }[];
}

const hugeRouteCount = 1500;

/** Cache lifetime of a service's objects, in milliseconds. */
export const cacheLifetimeOf = (service: string): number => (service === 'acts' ? 1000 : 4000);

/** The routes of one service; the last one contains `marker`, so that no two configurations are equal. */
const routesOf = (
  service: ServiceName,
  marker: number,
  variant: ConfigurationVariant,
): readonly object[] => [
  {
    name: `${service}-read`,
    prefix: `/${service}/read/`,
    service,
    class: 'read',
    timeoutMs: 3000,
    cache: { lifetimeMs: cacheLifetimeOf(service) },
  },
  {
    name: `${service}-plain`,
    prefix: `/${service}/plain/`,
    service,
    class: 'bulk',
    timeoutMs: 3000,
  },
  {
    name: `${service}-long`,
    prefix: `/${service}/long/`,
    service,
    class: 'bulk',
    timeoutMs: 20_000,
  },
  {
    name: `${service}-act`,
    prefix: `/${service}/act/`,
    methods: ['POST'],
    service,
    class: 'act',
    timeoutMs: 3000,
  },
  {
    name: `mark-${marker}-${service}`,
    path: `/${service}/mark/${marker}`,
    service: variant === 'invalid' && marker % 2 === 1 ? 'nobody' : service,
    class: 'bulk',
  },
];

/** Configuration for a simulated fleet; `marker` makes its content unique. */
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
  services: layout.services.map((service) => ({
    name: service.name,
    waitlist: 200 + (marker % 100),
    ...(service.perSecond === undefined ? {} : { perSecond: service.perSecond }),
    ...(service.hedgeMs === undefined ? {} : { hedgeMs: service.hedgeMs }),
  })),
  routes: [
    ...layout.services.flatMap((service) => routesOf(service.name, marker, variant)),
    ...Array.from({ length: variant === 'huge' ? hugeRouteCount : 0 }, (_, index) => ({
      name: `huge-${index}`,
      path: `/huge/${index}/${index % 7 === 0 ? marker : 0}`,
      service: layout.services[0]?.name ?? '',
      class: 'bulk',
    })),
  ],
});
