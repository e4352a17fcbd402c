/** Orderly shutdown on signals, and the end of the process on an unexpected error. */

import { commitFailureCause, isCommitFailure } from '../disk/commit-failure.js';
import type { Logger } from '../log/logger.js';

/** How long a shutdown may take, in milliseconds: the platform kills the process after six seconds. */
export const shutdownTimeoutMs = 5000;

const exitOnUnexpectedErrors = (log: Logger): void => {
  process.on('uncaughtException', (error) => {
    log.write('error', 'uncaught exception', new Map([['error', error.stack ?? error.message]]));
    process.exit(1);
  });
  process.on('unhandledRejection', (reason) => {
    // Whoever wrote was told that the commit failed; the library rejects promises of its own as well.
    if (isCommitFailure(reason)) {
      void commitFailureCause(reason);
      return;
    }
    const text = reason instanceof Error ? (reason.stack ?? reason.message) : String(reason);
    log.write('error', 'unhandled rejection', new Map([['error', text]]));
    process.exit(1);
  });
};

/**
 * On SIGTERM or SIGINT calls `stop` once and exits with 0 when it settles, or with 1 if that takes
 * longer than `timeoutMs`. SIGHUP ends nothing: settings are read at the next start.
 */
export const handleShutdownSignals = (
  log: Logger,
  stop: () => Promise<void>,
  timeoutMs = shutdownTimeoutMs,
): void => {
  let isShuttingDown = false;
  const shutDown = (signal: string): void => {
    if (isShuttingDown) return;
    isShuttingDown = true;
    log.write('info', 'shutting down', new Map([['signal', signal]]));
    const timer = setTimeout(() => {
      log.write('error', 'shutdown timed out');
      process.exit(1);
    }, timeoutMs);
    void stop().then(() => {
      clearTimeout(timer);
      log.write('info', 'shutdown complete');
      process.exit(0);
    });
  };
  process.on('SIGTERM', () => shutDown('SIGTERM'));
  process.on('SIGHUP', () => log.write('info', 'settings changed, read at the next start'));
  process.on('SIGINT', () => shutDown('SIGINT'));
  exitOnUnexpectedErrors(log);
};
