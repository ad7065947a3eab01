/** Addresses in the form that settings and the platform use: `ip:port`, or `[ip]:port` for IPv6. */

export interface SocketAddress {
  readonly host: string;
  /** For a listening socket, 0 lets the operating system choose a port. */
  readonly port: number;
}

/** Splits an address into host and port and removes the brackets of an IPv6 address. */
export function parseAddress(address: string): SocketAddress {
  const split = address.lastIndexOf(':');
  const host = address.slice(0, split).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(split + 1)) };
}
