/**
 * Budget for the bytes of bodies that a process holds in memory. A body takes its bytes from the budget before they are
 * read, and waits while they are not available. Small bodies have a share of their own, so that they never wait behind
 * large ones.
 */

/** Size up to which a body takes its bytes from the share of small bodies, if they are available there. */
export const smallBodyBytes = 64 * 1024;

/** Limits of a budget, in bytes. */
export interface ByteBudgetLimits {
  /** Bytes of all bodies, except those in the share of small ones. A larger body is admitted if it is the only one. */
  readonly bodyBytes: number;
  /** Bytes of small bodies. */
  readonly smallBodyBytes: number;
}

/** A wait for bytes of the budget. */
interface Waiter {
  readonly lease: ByteLease;
  readonly bytes: number;
  readonly resolve: (isGranted: boolean) => void;
}

/** Bytes that a body holds, and those that it may still need. */
interface Demand {
  readonly heldBytes: number;
  readonly restBytes: number;
}

/** Whether all can get the rest of their bytes, if each returns its bytes once it has them (the banker's algorithm). */
const canAllComplete = (demands: readonly Demand[], freeBytes: number): boolean => {
  let availableBytes = freeBytes;
  if (availableBytes < 0) return false;
  for (const demand of [...demands].sort((left, right) => left.restBytes - right.restBytes)) {
    if (demand.restBytes > availableBytes) return false;
    availableBytes += demand.heldBytes;
  }
  return true;
};

/** Bytes that one body has taken from a budget. */
export class ByteLease {
  /** Highest number of bytes that the body can need. */
  readonly maxBytes: number;
  /** Bytes taken from the budget, without those from the share of small bodies. */
  heldBytes = 0;
  /** Bytes taken from the share of small bodies. */
  heldSmallBytes = 0;
  readonly #budget: ByteBudget;

  constructor(budget: ByteBudget, maxBytes: number) {
    this.#budget = budget;
    this.maxBytes = maxBytes;
  }

  /** Takes bytes until the body holds `bytes` in total, if they are available now. */
  tryExtendTo(bytes: number): boolean {
    return this.#budget.tryExtend(this, bytes);
  }

  /** Waits until the body may hold `bytes` in total; false if `signal` is aborted before. */
  extendTo(bytes: number, signal: AbortSignal): Promise<boolean> {
    return this.#budget.extend(this, bytes, signal);
  }

  /** Returns the bytes above `bytes`, as the body is complete. */
  shrinkTo(bytes: number): void {
    this.#budget.shrink(this, bytes);
  }

  /** Returns all bytes, and ends a wait for more. */
  release(): void {
    this.#budget.release(this);
  }
}

/** Grants leases in order of arrival, and only while every body that still grows can get the rest of its bytes. */
export class ByteBudget {
  readonly #limits: ByteBudgetLimits;
  /** Leases that hold bytes, with the bytes that they may still need. */
  readonly #restBytes = new Map<ByteLease, number>();
  #waiters: readonly Waiter[] = [];
  #heldBytes = 0;
  #heldSmallBytes = 0;

  constructor(limits: ByteBudgetLimits) {
    this.#limits = limits;
  }

  /** Bytes that all bodies may hold together. */
  get limitBytes(): number {
    return this.#limits.bodyBytes + this.#limits.smallBodyBytes;
  }

  /** Bytes that are held now. */
  get heldBytes(): number {
    return this.#heldBytes + this.#heldSmallBytes;
  }

  /** Bodies that wait for bytes now. */
  get waitingBodies(): number {
    return this.#waiters.length;
  }

  /** Creates a lease, without bytes yet, for a body of at most `maxBytes`. */
  lease(maxBytes: number): ByteLease {
    return new ByteLease(this, maxBytes);
  }

  /** See {@link ByteLease.tryExtendTo}. */
  tryExtend(lease: ByteLease, bytes: number): boolean {
    if (this.#extendSmall(lease, bytes)) return true;
    const isInTurn = lease.heldBytes > 0 || this.#waiters.length === 0;
    if (!isInTurn || !this.#fits(lease, bytes)) return false;
    this.#grant(lease, bytes);
    return true;
  }

  /** See {@link ByteLease.extendTo}. */
  extend(lease: ByteLease, bytes: number, signal: AbortSignal): Promise<boolean> {
    if (signal.aborted) return Promise.resolve(false);
    if (this.tryExtend(lease, bytes)) return Promise.resolve(true);
    return new Promise((resolve) => {
      const waiter: Waiter = { lease, bytes, resolve };
      this.#waiters = [...this.#waiters, waiter];
      signal.addEventListener('abort', () => this.#endWait(waiter), { once: true });
    });
  }

  /** See {@link ByteLease.shrinkTo}. */
  shrink(lease: ByteLease, bytes: number): void {
    const surplusBytes = Math.max(0, lease.heldBytes - bytes);
    lease.heldBytes -= surplusBytes;
    this.#heldBytes -= surplusBytes;
    const surplusSmallBytes = Math.max(0, lease.heldSmallBytes - bytes);
    lease.heldSmallBytes -= surplusSmallBytes;
    if (lease.heldBytes > 0) this.#restBytes.set(lease, 0);
    else this.#restBytes.delete(lease);
    this.#heldSmallBytes -= surplusSmallBytes;
    this.#grantWaiters();
  }

  /** See {@link ByteLease.release}. */
  release(lease: ByteLease): void {
    for (const waiter of this.#waiters) if (waiter.lease === lease) this.#endWait(waiter);
    this.shrink(lease, 0);
  }

  #extendSmall(lease: ByteLease, bytes: number): boolean {
    const addedBytes = bytes - lease.heldSmallBytes;
    const isAvailable =
      lease.heldBytes === 0 &&
      bytes <= smallBodyBytes &&
      this.#heldSmallBytes + addedBytes <= this.#limits.smallBodyBytes;
    if (!isAvailable) return false;
    lease.heldSmallBytes = bytes;
    this.#heldSmallBytes += addedBytes;
    return true;
  }

  /** Whether a lease can be extended so that afterwards all bodies can complete, one after the other. */
  #fits(lease: ByteLease, bytes: number): boolean {
    const othersBytes = this.#heldBytes - lease.heldBytes;
    if (othersBytes === 0) return true;
    const demands = [...this.#restBytes]
      .filter(([other]) => other !== lease)
      .map(([{ heldBytes }, restBytes]) => ({ heldBytes, restBytes }));
    demands.push({ heldBytes: bytes, restBytes: lease.maxBytes - bytes });
    return canAllComplete(demands, this.#limits.bodyBytes - othersBytes - bytes);
  }

  #grant(lease: ByteLease, bytes: number): void {
    this.#heldBytes += bytes - lease.heldBytes;
    lease.heldBytes = bytes;
    this.#restBytes.set(lease, lease.maxBytes - bytes);
    this.#heldSmallBytes -= lease.heldSmallBytes;
    lease.heldSmallBytes = 0;
  }

  /** Grants the bytes that growing leases wait for, then those of new ones in order of arrival. */
  #grantWaiters(): void {
    let isBlocked = false;
    const isGrowing = ({ lease }: Waiter): boolean => lease.heldBytes > 0;
    const ordered = [
      ...this.#waiters.filter(isGrowing),
      ...this.#waiters.filter((waiter) => !isGrowing(waiter)),
    ];
    for (const waiter of ordered) {
      if (!this.#waiters.includes(waiter) || (isBlocked && !isGrowing(waiter))) continue;
      if (this.#fits(waiter.lease, waiter.bytes)) {
        this.#grant(waiter.lease, waiter.bytes);
        this.#removeWaiter(waiter);
        waiter.resolve(true);
      } else if (!isGrowing(waiter)) isBlocked = true;
    }
  }

  #endWait(waiter: Waiter): void {
    if (!this.#waiters.includes(waiter)) return;
    this.#removeWaiter(waiter);
    waiter.resolve(false);
    this.#grantWaiters();
  }

  #removeWaiter(waiter: Waiter): void {
    this.#waiters = this.#waiters.filter((other) => other !== waiter);
  }
}
