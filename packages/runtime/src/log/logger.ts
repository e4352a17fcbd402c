import { type ConsolaInstance, LogLevels, createConsola } from 'consola';

const levels = new Map([
  ['debug', LogLevels.debug],
  ['info', LogLevels.info],
  ['warn', LogLevels.warn],
  ['error', LogLevels.error],
]);

/** What a program logs with: one JSON object a line, on standard error. */
export interface Logger {
  readonly write: (
    level: 'info' | 'warn' | 'error',
    text: string,
    facts?: ReadonlyMap<string, string | number | boolean>,
  ) => void;
}

/** A log of JSON lines for one node. */
export const createLogger = (program: string, node: string, level: string): Logger => {
  const consola: ConsolaInstance = createConsola({
    level: levels.get(level) ?? LogLevels.info,
    throttle: 0,
    reporters: [
      {
        log: (row) => {
          const args: readonly unknown[] = row.args;
          const [text, facts] = args;
          const more: readonly (readonly [string, unknown])[] =
            facts instanceof Map ? [...facts].map(([key, value]) => [String(key), value]) : [];
          process.stderr.write(
            `${JSON.stringify({ at: row.date.toISOString(), level: row.type, program, node, text: String(text), ...Object.fromEntries(more) })}\n`,
          );
        },
      },
    ],
  });
  return { write: (kind, text, facts) => consola[kind](text, facts) };
};
