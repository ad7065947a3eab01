/** Addresses as settings and the platform spell them: `ip:port`, or `[ip]:port` for IPv6. */

export interface SocketAddress {
  readonly host: string;
  /** 0 lets the system choose where an address is listened on. */
  readonly port: number;
}

/** Host and port of an address. */
export function splitAddress(address: string): SocketAddress {
  const split = address.lastIndexOf(':');
  const host = address.slice(0, split).replace(/^\[|\]$/g, '');
  return { host, port: Number(address.slice(split + 1)) };
}
