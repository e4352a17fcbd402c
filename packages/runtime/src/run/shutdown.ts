/** Graceful shutdown on signals, and exit of the process on an unexpected error. */

import { commitFailureCause, isCommitFailure } from '../disk/commit-failure.js';
import type { Logger } from '../log/logger.js';

/** Maximum duration of a shutdown; shorter than the 6 s after which the platform kills the process. */
export const shutdownTimeoutMs = 5000;

const exitOnUnexpectedErrors = (log: Logger): void => {
  process.on('uncaughtException', (error) => {
    log.write('error', 'uncaught exception', new Map([['error', error.stack ?? error.message]]));
    process.exit(1);
  });
  process.on('unhandledRejection', (reason) => {
    // The writer is notified of a failed commit; lmdb also rejects internal promises, which are ignored here.
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
 * Installs the signal handlers of a program. SIGTERM or SIGINT calls `stop` once; the process exits with 0
 * when it resolves, or with 1 after `timeoutMs`. SIGHUP has no effect, as settings are only read at startup.
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
      log.write('error', 'shutdown timed out, exiting with code 1');
      process.exit(1);
    }, timeoutMs);
    void stop().then(() => {
      clearTimeout(timer);
      log.write('info', 'shutdown complete');
      process.exit(0);
    });
  };
  process.on('SIGTERM', () => shutDown('SIGTERM'));
  process.on('SIGHUP', () =>
    log.write('info', 'SIGHUP ignored: settings are only read at startup'),
  );
  process.on('SIGINT', () => shutDown('SIGINT'));
  exitOnUnexpectedErrors(log);
};
