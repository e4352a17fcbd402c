/** Names and addresses of processes, derived from the index of their machine. */

import { type Address, type NodeId, toAddress, toNodeId } from '@switchwheel/types';
import type { Endpoint, Role } from '../schedule/deviation.js';

const firstPort: Record<Role, number> = { registry: 7000, store: 8000 };

/** Returns the node name of a process. */
export const nodeOf = ({ machine, role }: Endpoint): NodeId => toNodeId(`${role}-${machine}`);

/** Returns the address of a process. */
export const addressOf = ({ machine, role }: Endpoint): Address =>
  toAddress(`10.0.0.${machine + 1}:${firstPort[role]}`);

const endpoints = new Map<Address, Endpoint>();

/** Returns the process at an address; undefined beyond the first 16 machines. */
export const endpointAt = (address: Address): Endpoint | undefined => {
  if (endpoints.size === 0)
    for (let machine = 0; machine < 16; machine += 1)
      for (const role of ['registry', 'store'] as const)
        endpoints.set(addressOf({ machine, role }), { machine, role });
  return endpoints.get(address);
};
