/** Log of the violations of one run, with the virtual time of their detection. */

/** Further violations of a run are dropped. */
const maxViolations = 20;

/** Collects violations in the order of their detection. */
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

  /** Adds a violation unless the rule already has one under this key. */
  addOnce(rule: string, key: string, text: string): void {
    if (this.#reported.has(`${rule} ${key}`)) return;
    this.#reported.add(`${rule} ${key}`);
    this.add(rule, text);
  }
}
