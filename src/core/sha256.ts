/**
 * SHA-256 (FIPS 180-4) and HMAC (RFC 2104) in plain TypeScript, for proofs that the core verifies
 * itself, since it performs no input or output. Hosts use the crypto library of the platform.
 */

const BLOCK_BYTES = 64;
const LENGTH_BYTES = 8;

const INITIAL_HASH = Uint32Array.of(
  0x6a09e667,
  0xbb67ae85,
  0x3c6ef372,
  0xa54ff53a,
  0x510e527f,
  0x9b05688c,
  0x1f83d9ab,
  0x5be0cd19,
);

// prettier-ignore
const ROUND_CONSTANTS = Uint32Array.of(
  0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5,
  0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174,
  0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
  0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967,
  0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85,
  0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
  0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
  0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2,
);

/** An incremental SHA-256 computation. */
export interface Sha256 {
  update: (bytes: Uint8Array) => void;
  digest: () => Uint8Array;
}

const encoder = new TextEncoder();

export function createSha256(): Sha256 {
  const hash = INITIAL_HASH.slice();
  const schedule = new Uint32Array(BLOCK_BYTES);
  const block = new Uint8Array(BLOCK_BYTES);
  let blockLength = 0;
  let totalBytes = 0;

  function update(bytes: Uint8Array): void {
    totalBytes += bytes.length;
    let offset = 0;
    while (offset < bytes.length) {
      const chunk = bytes.subarray(offset, offset + BLOCK_BYTES - blockLength);
      block.set(chunk, blockLength);
      blockLength += chunk.length;
      offset += chunk.length;
      if (blockLength === BLOCK_BYTES) {
        compress(hash, schedule, block);
        blockLength = 0;
      }
    }
  }

  function digest(): Uint8Array {
    const bits = totalBytes * 8;
    const needsExtraBlock = blockLength >= BLOCK_BYTES - LENGTH_BYTES;
    const padding = new Uint8Array((needsExtraBlock ? 2 : 1) * BLOCK_BYTES - blockLength);
    padding[0] = 0x80;
    const view = new DataView(padding.buffer);
    view.setUint32(padding.length - LENGTH_BYTES, Math.floor(bits / 2 ** 32));
    view.setUint32(padding.length - LENGTH_BYTES / 2, bits >>> 0);
    update(padding);
    const out = new Uint8Array(hash.length * 4);
    const words = new DataView(out.buffer);
    hash.forEach((word, i) => words.setUint32(i * 4, word));
    return out;
  }

  return { update, digest };
}

function compress(hash: Uint32Array, w: Uint32Array, block: Uint8Array): void {
  for (let i = 0; i < 16; i += 1) w[i] = readUint32(block, i * 4);
  for (let i = 16; i < BLOCK_BYTES; i += 1) {
    const x = w[i - 15] as number;
    const y = w[i - 2] as number;
    const s0 = rotateRight(x, 7) ^ rotateRight(x, 18) ^ (x >>> 3);
    const s1 = rotateRight(y, 17) ^ rotateRight(y, 19) ^ (y >>> 10);
    w[i] = (w[i - 16] as number) + s0 + (w[i - 7] as number) + s1;
  }
  let [a, b, c, d, e, f, g, h] = hash as unknown as [
    number,
    number,
    number,
    number,
    number,
    number,
    number,
    number,
  ];
  for (let i = 0; i < BLOCK_BYTES; i += 1) {
    const s1 = rotateRight(e, 6) ^ rotateRight(e, 11) ^ rotateRight(e, 25);
    const choice = (e & f) ^ (~e & g);
    const temp1 = (h + s1 + choice + (ROUND_CONSTANTS[i] as number) + (w[i] as number)) | 0;
    const s0 = rotateRight(a, 2) ^ rotateRight(a, 13) ^ rotateRight(a, 22);
    const majority = (a & b) ^ (a & c) ^ (b & c);
    h = g;
    g = f;
    f = e;
    e = (d + temp1) | 0;
    d = c;
    c = b;
    b = a;
    a = (temp1 + s0 + majority) | 0;
  }
  [a, b, c, d, e, f, g, h].forEach((word, i) => {
    hash[i] = (hash[i] as number) + word;
  });
}

function readUint32(bytes: Uint8Array, offset: number): number {
  return (
    ((bytes[offset] as number) << 24) |
    ((bytes[offset + 1] as number) << 16) |
    ((bytes[offset + 2] as number) << 8) |
    (bytes[offset + 3] as number)
  );
}

function rotateRight(word: number, bits: number): number {
  return (word >>> bits) | (word << (32 - bits));
}

/** Returns the SHA-256 of `text` in lower-case hexadecimal. */
export function sha256Hex(text: string): string {
  const hash = createSha256();
  hash.update(encoder.encode(text));
  return toHex(hash.digest());
}

/** Returns the HMAC-SHA-256 of the concatenated `parts` in lower-case hexadecimal. */
export function hmacSha256Hex(key: string, parts: Iterable<string>): string {
  const hmac = createHmac(key);
  for (const part of parts) hmac.update(part);
  return hmac.digest();
}

/** An incremental HMAC-SHA-256 computation. */
export interface Hmac {
  update: (text: string) => void;
  digest: () => string;
}

export function createHmac(key: string): Hmac {
  const keyBytes = encoder.encode(key);
  const padded = new Uint8Array(BLOCK_BYTES);
  padded.set(keyBytes.length > BLOCK_BYTES ? sha256(keyBytes) : keyBytes);
  const inner = createSha256();
  inner.update(padded.map((byte) => byte ^ 0x36));
  return {
    update: (text) => inner.update(encoder.encode(text)),
    digest: () => {
      const outer = createSha256();
      outer.update(padded.map((byte) => byte ^ 0x5c));
      outer.update(inner.digest());
      return toHex(outer.digest());
    },
  };
}

function sha256(bytes: Uint8Array): Uint8Array {
  const hash = createSha256();
  hash.update(bytes);
  return hash.digest();
}

function toHex(bytes: Uint8Array): string {
  return Array.from(bytes, (byte) => byte.toString(16).padStart(2, '0')).join('');
}

/** Compares two strings in a time that depends only on their lengths, to prevent timing attacks. */
export function equalInConstantTime(a: string, b: string): boolean {
  let difference = a.length ^ b.length;
  for (let i = 0; i < a.length; i += 1) difference |= a.charCodeAt(i) ^ b.charCodeAt(i);
  return difference === 0;
}
