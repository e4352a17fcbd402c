/**
 * What every command is given and what it gives back. How a command is carried out is left to its own module.
 */

import type { RegistryTarget } from '../registry-client/registry-client.js';

/** What a command prints and how the program ends: 0 done, 1 refused or unanswered, 2 wrong use. */
export interface CommandResult {
  readonly exitCode: 0 | 1 | 2;
  readonly stdout: string;
  readonly stderr: string;
}

/** The flags of the command line, after they were checked. */
export interface CommandOptions {
  readonly target: RegistryTarget;
  /** Whether the registry's JSON is printed as it came. */
  readonly json: boolean;
  /** The generation that must be in force for a change to be accepted. */
  readonly base: number | undefined;
  /** Whether a change is applied whatever generation is in force. */
  readonly force: boolean;
  /** The idempotency key of a change; drawn at random when absent. */
  readonly id: string | undefined;
  readonly host: string | undefined;
  readonly tags: readonly string[];
  readonly all: boolean;
  /** Whether an import fails if a directive has no counterpart. */
  readonly strict: boolean;
  readonly stores: readonly string[];
  readonly voters: readonly string[];
  /** How long `apply` waits for the nodes to report the new generation. */
  readonly waitMs: number;
  /** How long a rollout of a release may take, as written: `16s`, `500ms`. */
  readonly span: string;
}

/** A command that did what it was asked. */
export const success = (stdout: string): CommandResult => ({ exitCode: 0, stdout, stderr: '' });

/** A command that was refused, or that no registry answered. */
export const failure = (stderr: string): CommandResult => ({ exitCode: 1, stdout: '', stderr });

/** A command with missing or malformed arguments. */
export const wrongUse = (stderr: string): CommandResult => ({ exitCode: 2, stdout: '', stderr });
