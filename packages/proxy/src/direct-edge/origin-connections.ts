/**
 * Persistent connections to origins. An idle connection is closed if data arrives on it, so that surplus data can't be
 * taken for the response to a later request.
 */

import { Agent, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';
import type { InstanceId } from '@switchwheel/types';

/** Maximum number of idle connections to one origin. */
const maxIdleConnections = 8;
/** Idle timeout; shorter than the usual keep-alive timeout of origins. */
const idleTimeoutMs = 4000;

/** Keep-alive agents by origin instance. */
export class OriginConnections {
  readonly #agents = new Map<InstanceId, KeepAliveAgent>();

  /** Returns the agent for connections to an instance. */
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

  /** Closes the idle connections to an instance that has left; active ones close after their requests. */
  closeIdleConnections(instance: InstanceId): void {
    const agent = this.#agents.get(instance);
    if (agent === undefined) return;
    for (const sockets of Object.values(agent.freeSockets))
      for (const socket of sockets ?? []) socket.destroy();
    this.#agents.delete(instance);
  }
}

/** Closes an idle connection on which data arrives, as the data belongs to no request. */
const destroyOnUnexpectedData = function destroyOnUnexpectedData(this: Socket): void {
  this.destroy();
};

/** Method missing from Node's type definitions; keeps no connection that its origin will close within a second. */
const baseAgent: { readonly keepSocketAlive: (this: Agent, socket: Socket) => unknown } =
  Agent.prototype;

/** Keeps a connection only if no unread data is left on it, and closes an idle one on which data arrives. */
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
