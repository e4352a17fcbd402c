import { causeOf, isCommitFault } from '../disk/fault.js';
import type { Logger } from '../log/logger.js';

/** How long a stop may take: the platform's hard stop comes after six seconds. */
export const shutdownTimeoutMs = 5000;

/** Calls back once when the process is asked to stop, and ends it in any case before the hard stop. */
export const handleShutdownSignals = (
  log: Logger,
  stop: () => Promise<void>,
  span = shutdownTimeoutMs,
): void => {
  let asked = false;
  const begin = (signal: string): void => {
    if (asked) return;
    asked = true;
    log.write('info', 'stopping', new Map([['signal', signal]]));
    const late = setTimeout(() => {
      log.write('error', 'not everything ended in time');
      process.exit(1);
    }, span);
    void stop().then(() => {
      clearTimeout(late);
      log.write('info', 'stopped');
      process.exit(0);
    });
  };
  process.on('SIGTERM', () => begin('SIGTERM'));
  // The settings are read again at the next start; this signal ends nothing.
  process.on('SIGHUP', () => log.write('info', 'the settings have changed'));
  process.on('SIGINT', () => begin('SIGINT'));
  process.on('uncaughtException', (fault) => {
    log.write('error', 'broke down', new Map([['why', fault.stack ?? fault.message]]));
    process.exit(1);
  });
  process.on('unhandledRejection', (fault) => {
    // Whoever wrote was told that the commit failed; the library rejects promises of its own as well.
    if (isCommitFault(fault)) {
      void causeOf(fault);
      return;
    }
    log.write(
      'error',
      'broke down',
      new Map([['why', fault instanceof Error ? (fault.stack ?? fault.message) : String(fault)]]),
    );
    process.exit(1);
  });
};
