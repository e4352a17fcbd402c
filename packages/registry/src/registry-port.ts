/**
 * Interface between a running registry and its HTTP interfaces (the registry's own, or another
 * program's).
 */

import type { ExternalRequest, RegistryState } from '@switchwheel/membership';

/** Response to a request: an HTTP status and a JSON text. */
export interface RegistryResponse {
  readonly status: number;
  readonly body: string;
}

/** Submits a request to the registry's state machine; resolves with its response and never rejects. */
export type SubmitRequest = (request: ExternalRequest) => Promise<RegistryResponse>;

/** Running registry, as used by an HTTP interface. */
export interface RegistryPort {
  readonly submit: SubmitRequest;
  /** Whether the registry is in contact with a majority of the voters and is not stopping. */
  readonly isReady: () => boolean;
  /** Renders the metrics in Prometheus' text format. */
  readonly renderMetrics: () => string;
  readonly state: () => RegistryState;
}
