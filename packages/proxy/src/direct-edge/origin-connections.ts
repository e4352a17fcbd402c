/**
 * Connections to origins. Those that are kept open are watched while they are idle: nothing that an origin sends then
 * can reach a later request.
 */

import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { InstanceId } from '@switchwheel/types';

/** Idle connections to one origin that are kept open. */
const maxIdleConnections = 8;
/** How long a connection may be idle here: well before an origin closes it. */
const idleTimeoutMs = 4000;

/** The connections that are kept open, by instance. */
export class OriginConnections {
  readonly #agents = new Map<InstanceId, KeepAliveAgent>();

  /** The agent that keeps the connections to an instance. */
  agentFor(instance: InstanceId): Agent {
    const existing = this.#agents.get(instance);
    if (existing !== undefined) return existing;
    const agent = new KeepAliveAgent({
      keepAlive: true,
      maxFreeSockets: maxIdleConnections,
      scheduling: 'lifo',
      timeout: idleTimeoutMs,
    });
    this.#agents.set(instance, agent);
    return agent;
  }

  /** Closes the idle connections to an instance that is gone; those in use end with their requests. */
  closeIdleConnections(instance: InstanceId): void {
    const agent = this.#agents.get(instance);
    if (agent === undefined) return;
    for (const sockets of Object.values(agent.freeSockets))
      for (const socket of sockets ?? []) socket.destroy();
    this.#agents.delete(instance);
  }
}

/** Bytes that come while no request is in flight belong to none: the connection ends. */
const destroyOnUnexpectedData = function destroyOnUnexpectedData(this: Socket): void {
  this.destroy();
};

/** The agent's own decision, which its types hide: it keeps no connection that its origin will close within a second. */
const baseAgent: { readonly keepSocketAlive: (this: Agent, socket: Socket) => unknown } =
  Agent.prototype;

/** Keeps a connection only if nothing is left to read on it, and reads nothing from an idle one. */
class KeepAliveAgent extends Agent {
  override keepSocketAlive(socket: Socket): boolean {
    if (socket.bytesRead === 0 || socket.readableLength > 0 || socket.destroyed) return false;
    if (baseAgent.keepSocketAlive.call(this, socket) === false) return false;
    socket.on('data', destroyOnUnexpectedData);
    socket.resume();
    return true;
  }

  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off('data', destroyOnUnexpectedData);
    super.reuseSocket(socket, request);
  }
}
