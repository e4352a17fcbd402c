/** Options and result that all commands share. */

import type { RegistryTarget } from '../registry-client/registry-client.js';

/** Output of a command and exit code of the program: 0 success, 1 rejected or no response, 2 usage error. */
export interface CommandResult {
  readonly exitCode: 0 | 1 | 2;
  readonly stdout: string;
  readonly stderr: string;
}

/** Flags of the command line, after their validation. */
export interface CommandOptions {
  readonly target: RegistryTarget;
  /** Whether the registry's JSON is printed unchanged. */
  readonly json: boolean;
  /** Generation that must be in force for a change to be accepted. */
  readonly base: number | undefined;
  /** Whether a change is applied whichever generation is in force. */
  readonly force: boolean;
  /** Idempotency key of a change; random if absent. */
  readonly id: string | undefined;
  readonly host: string | undefined;
  readonly tags: readonly string[];
  readonly all: boolean;
  /** Whether an import fails if any directive can't be converted. */
  readonly strict: boolean;
  readonly stores: readonly string[];
  readonly voters: readonly string[];
  /** Maximum time that `apply` waits for the nodes to report the new generation; 0 to not wait. */
  readonly waitMs: number;
  /** Duration of a release rollout as the operator wrote it, such as `16s`. */
  readonly span: string;
}

/** Result of a command that succeeded. */
export const success = (stdout: string): CommandResult => ({ exitCode: 0, stdout, stderr: '' });

/** Result of a command that was rejected, or that no registry responded to. */
export const failure = (stderr: string): CommandResult => ({ exitCode: 1, stdout: '', stderr });

/** Result of a command with missing or malformed arguments. */
export const usageError = (stderr: string): CommandResult => ({ exitCode: 2, stdout: '', stderr });
