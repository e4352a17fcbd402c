/** Proxy in place of the network between two machines: forwards connections, or is cut and then says nothing. */

import { connect, createServer } from 'node:net';

/** Link from an address of its own to a target; while it is cut, bytes are taken and lost. */
export class Link {
  constructor(host, target) {
    Object.assign(this, { host, target, isCut: false, sockets: new Set() });
  }

  listen() {
    this.server = createServer((inbound) => {
      this.#keep(inbound);
      if (this.isCut) {
        inbound.resume();
        return;
      }
      const outbound = connect(this.target);
      this.#keep(outbound);
      inbound.pipe(outbound);
      outbound.pipe(inbound);
      inbound.on('close', () => outbound.destroy());
      outbound.on('close', () => inbound.destroy());
    });
    return new Promise((resolve) => {
      this.server.listen({ host: this.host, port: this.target.port }, resolve);
    });
  }

  /** Ends the cut; connections that were opened during it end. */
  heal() {
    this.isCut = false;
    for (const socket of this.sockets) socket.destroy();
  }

  close() {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  #keep(socket) {
    this.sockets.add(socket);
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
  }
}
