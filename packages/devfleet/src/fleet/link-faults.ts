/** Cut and delayed links between the machines of a fleet. */

import type { Machine } from './machine.js';

const addPeer = (peers: Map<Machine, Set<string>>, machine: Machine, peerHost: string): void => {
  peers.set(machine, (peers.get(machine) ?? new Set()).add(peerHost));
};

/** Controls the link faults of machines whose processes were started with fault injection. */
export class LinkFaults {
  readonly #machines: readonly Machine[];
  readonly #stalledPeers = new Map<Machine, Set<string>>();
  readonly #unreachablePeers = new Map<Machine, Set<string>>();

  constructor(machines: readonly Machine[]) {
    this.#machines = machines;
  }

  /** Cuts the links from senders to receivers; traffic in the other direction still passes. */
  cut(senders: readonly Machine[], receivers: readonly Machine[]): void {
    for (const sender of senders) {
      for (const receiver of receivers) {
        if (sender === receiver) continue;
        addPeer(this.#stalledPeers, sender, receiver.host);
        // A TCP handshake needs both directions.
        addPeer(this.#unreachablePeers, sender, receiver.host);
        addPeer(this.#unreachablePeers, receiver, sender.host);
      }
    }
    this.#apply();
  }

  /** Removes all cuts. */
  heal(): void {
    this.#stalledPeers.clear();
    this.#unreachablePeers.clear();
    this.#apply();
  }

  /** Sets the delay of each write of every machine. */
  setLag(lagMs: number): void {
    for (const { processes } of this.#machines)
      for (const process of processes) process.setFaults({ lagMs });
  }

  #apply(): void {
    for (const machine of this.#machines)
      for (const process of machine.processes)
        process.setFaults({
          stalledPeers: [...(this.#stalledPeers.get(machine) ?? [])],
          unreachablePeers: [...(this.#unreachablePeers.get(machine) ?? [])],
        });
  }
}
