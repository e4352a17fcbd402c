/** Structured logging to standard error, as one JSON object per line. */

import { type ConsolaInstance, LogLevels, createConsola } from 'consola';

const consolaLevels = new Map([
  ['debug', LogLevels.debug],
  ['info', LogLevels.info],
  ['warn', LogLevels.warn],
  ['error', LogLevels.error],
]);

/** Log of one node. */
export interface Logger {
  /** Writes a log line with a message and fields, unless `level` is below the configured one. */
  readonly write: (
    level: 'info' | 'warn' | 'error',
    message: string,
    fields?: ReadonlyMap<string, string | number | boolean>,
  ) => void;
}

/** Creates the logger of a node; an unknown level is treated as `info`. */
export const createLogger = (program: string, node: string, level: string): Logger => {
  const consola: ConsolaInstance = createConsola({
    level: consolaLevels.get(level) ?? LogLevels.info,
    throttle: 0,
    reporters: [
      {
        log: (entry) => {
          const args: readonly unknown[] = entry.args;
          const [message, fields] = args;
          const fieldEntries: readonly (readonly [string, unknown])[] =
            fields instanceof Map ? [...fields].map(([name, value]) => [String(name), value]) : [];
          const line = {
            at: entry.date.toISOString(),
            level: entry.type,
            program,
            node,
            text: String(message),
            ...Object.fromEntries(fieldEntries),
          };
          process.stderr.write(`${JSON.stringify(line)}\n`);
        },
      },
    ],
  });
  return { write: (entryLevel, message, fields) => consola[entryLevel](message, fields) };
};
