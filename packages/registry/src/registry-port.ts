/**
 * What a running registry offers to an HTTP interface: the seam between the registry's state machine
 * and the forms in which operators and origins speak to it.
 */

import type { ExternalRequest, RegistryState } from '@switchwheel/membership';

/** The answer to a request: an HTTP status and a JSON text. */
export interface RegistryResponse {
  readonly status: number;
  readonly body: string;
}

/** Hands a request to the registry's state machine; settles with its answer and never rejects. */
export type SubmitRequest = (request: ExternalRequest) => Promise<RegistryResponse>;

/** A running registry, as its HTTP interface sees it. */
export interface RegistryPort {
  readonly submit: SubmitRequest;
  /** Whether it is in contact with a majority of the voters and not stopping. */
  readonly isReady: () => boolean;
  /** The metrics in Prometheus' text format. */
  readonly renderMetrics: () => string;
  readonly state: () => RegistryState;
}
