/**
 * Upload of a configuration: it is compiled here as the nodes compile it, so that a configuration
 * that nodes can't apply is rejected, and is then submitted to the store in chunks.
 */

import { type CommandId, type Generation, type Hash, noGeneration } from '@switchwheel/types';
import {
  type ChunkedConfiguration,
  type ValidationIssue,
  buildConfiguration,
  splitIntoChunks,
} from '@switchwheel/configuration';
import { runTimeSliced } from '@switchwheel/runtime';
import type { SubmitRequest } from './registry-port.js';

/** Command id and generations of an upload. */
export interface ConfigurationUpload {
  readonly id: CommandId;
  /** Generation that must be in force for the upload to be applied; any if undefined. */
  readonly baseGeneration?: Generation | undefined;
  /** Generation assigned by the operator, of which the highest is in force; the next one if undefined. */
  readonly requestedGeneration?: Generation | undefined;
}

/** Outcome of an upload; `answered` has the response of the store or of this registry. */
export type UploadResult =
  | { readonly outcome: 'refused'; readonly issues: readonly ValidationIssue[] }
  | { readonly outcome: 'valid'; readonly hash: Hash; readonly routeCount: number }
  | { readonly outcome: 'answered'; readonly status: number; readonly body: string };

const compile = ({
  hash,
  chunkHashes,
  chunks,
}: ChunkedConfiguration): ReturnType<typeof buildConfiguration> =>
  buildConfiguration(
    chunkHashes.map((chunkHash) => chunks.get(chunkHash) ?? ''),
    noGeneration,
    hash,
  );

/** Validates a parsed configuration and, in the mode `apply`, submits it. */
export const uploadConfiguration = async (
  raw: unknown,
  submit: SubmitRequest,
  upload: ConfigurationUpload,
  mode: 'check' | 'apply',
): Promise<UploadResult> => {
  const chunked = await runTimeSliced(splitIntoChunks(raw));
  if (chunked.isErr) return { outcome: 'refused', issues: chunked.error };
  const { hash, chunkHashes, chunks } = chunked.value;
  const compiled = await runTimeSliced(compile(chunked.value));
  if (compiled.isErr) return { outcome: 'refused', issues: compiled.error };
  if (mode === 'check') return { outcome: 'valid', hash, routeCount: compiled.value.routeCount };
  const response = await submit({
    verb: 'apply',
    id: upload.id,
    baseGeneration: upload.baseGeneration,
    requestedGeneration: upload.requestedGeneration,
    hash,
    chunkHashes,
    chunks,
  });
  return { outcome: 'answered', ...response };
};
