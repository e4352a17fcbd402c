/** Structured logs: one JSON object a line, on standard error. */

import { type ConsolaInstance, LogLevels, createConsola } from 'consola';

const consolaLevels = new Map([
  ['debug', LogLevels.debug],
  ['info', LogLevels.info],
  ['warn', LogLevels.warn],
  ['error', LogLevels.error],
]);

/** Writes log lines. */
export interface Logger {
  /** Writes a message with typed fields; lines below the configured level are dropped. */
  readonly write: (
    level: 'info' | 'warn' | 'error',
    message: string,
    fields?: ReadonlyMap<string, string | number | boolean>,
  ) => void;
}

/** Makes the logger of one node; an unknown level counts as `info`. */
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
