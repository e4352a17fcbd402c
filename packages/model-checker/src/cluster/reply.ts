/** Parsing of the control plane's replies, as far as the invariants need it. */

/** Parsed reply to a write or a read. */
export interface ParsedReply {
  /** Outcome of a write; empty for a read. */
  readonly kind: string;
  /** Generation of the configuration; 0 if there is none. */
  readonly generation: number;
}

/** Parses the body of a reply. */
export const parseReply = (body: string): ParsedReply => ({
  kind: /"kind":"([a-z]+)"/.exec(body)?.[1] ?? '',
  generation: Number(/"generation":(\d+)/.exec(body)?.[1] ?? 0),
});
