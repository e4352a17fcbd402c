/** What a run broke of the rules, with the virtual time at which it was found. */

/** More than these say nothing new of a run. */
const maxViolations = 20;

/** Gathers violations in the order in which they were found. */
export class ViolationLog {
  readonly violations: string[] = [];
  readonly #reported = new Set<string>();
  readonly #now: () => number;

  constructor(now: () => number) {
    this.#now = now;
  }

  add(rule: string, text: string): void {
    if (this.violations.length < maxViolations)
      this.violations.push(`${rule} at ${Math.round(this.#now())}: ${text}`);
  }

  /** Adds only the first violation of a rule under a key. */
  addOnce(rule: string, key: string, text: string): void {
    if (this.#reported.has(`${rule} ${key}`)) return;
    this.#reported.add(`${rule} ${key}`);
    this.add(rule, text);
  }
}
