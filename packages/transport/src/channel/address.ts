/** Conversion of addresses to the form that sockets accept. */

import type { Address } from '@switchwheel/types';

/** Splits an address into host and port; the brackets of an IPv6 host are removed. */
export const splitAddress = (
  address: Address,
): { readonly host: string; readonly port: number } => {
  const colonIndex = address.lastIndexOf(':');
  return {
    host: address.slice(0, colonIndex).replace(/^\[|\]$/g, ''),
    port: Number(address.slice(colonIndex + 1)),
  };
};
