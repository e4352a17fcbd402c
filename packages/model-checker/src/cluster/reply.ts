/** The parts of the control side's replies that invariants are judged by. */

/** A reply to a write or a read. */
export interface ParsedReply {
  /** What became of a write; empty for a read. */
  readonly kind: string;
  /** The number of the configuration; 0 if there is none. */
  readonly generation: number;
}

/** Reads a reply's body. */
export const parseReply = (body: string): ParsedReply => ({
  kind: /"kind":"([a-z]+)"/.exec(body)?.[1] ?? '',
  generation: Number(/"generation":(\d+)/.exec(body)?.[1] ?? 0),
});
