import { expect } from 'chai';
import fc from 'fast-check';
import { createCore, type Core } from '../../src/core/core.js';
import type { CoreEvent, PeerMessage } from '../../src/core/types.js';
import { decodeBatch, encodeBatch } from '../../src/protocol/codec.js';
import { PeerMessage as PeerMessageCodec } from '../../src/protocol/generated/peer.js';
import { createTestView } from '../support/configuration.js';

/** `FUZZ_RUNS=N FUZZ_SEED=S npm test` runs another number of cases and uses another seed than CI. */
const NUM_RUNS = Number(process.env.FUZZ_RUNS ?? 2_000);
const SEED = Number(process.env.FUZZ_SEED ?? 11);
const PARAMETERS = { numRuns: NUM_RUNS, seed: SEED };
const SELF = { id: 'a', incarnation: 5, address: '127.0.0.1:1', domain: 'd1', region: 'r1' };
const STREAMS = ['claims', 'claims-checkpoints', 'configuration', 'orders', 'audit'];
const MAX_FUZZED_FIELD = 40;

function createStartedCore(): Core {
  const core = createCore({ self: SELF, seed: 1, initialConfiguration: createTestView() });
  core.reduce({ kind: 'start' }, 0);
  return core;
}

function decodeMessage(bytes: Uint8Array): PeerMessage | undefined {
  try {
    return PeerMessageCodec.decode(bytes).body;
  } catch {
    return undefined;
  }
}

/** A message of a known kind with arbitrary bytes as fields; `undefined` if it does not decode. */
const peerMessage = fc
  .tuple(fc.integer({ min: 1, max: MAX_FUZZED_FIELD }), fc.uint8Array({ maxLength: 60 }))
  .map(([field, body]) => {
    const tag = field * 8 + 2;
    const head = tag < 128 ? [tag] : [(tag % 128) + 128, Math.floor(tag / 128)];
    return decodeMessage(Uint8Array.from([...head, body.length, ...body]));
  });

const record = fc.oneof(
  fc.string(),
  fc.json(),
  fc
    .record({
      type: fc.constantFrom('claim', 'release', 'outcome', 'checkpoint', 'edit'),
      kind: fc.constantFrom('edit', 'checkpoint', 'order'),
      id: fc.string(),
      customer: fc.integer(),
      key: fc.string(),
      from: fc.integer(),
      schemaVersion: fc.integer(),
    })
    .map((value) => JSON.stringify(value)),
);

describe('untrusted input', () => {
  it('decodes encoded batches to equal values', () => {
    fc.assert(
      fc.property(peerMessage, (message) => {
        if (message === undefined) return;
        const batch = { sender: { id: 'b', incarnation: 7 }, messages: [message] };
        expect(decodeBatch(encodeBatch(batch))).to.deep.equal(batch);
      }),
      PARAMETERS,
    );
  });

  it('does not make the core throw on a message of a peer', () => {
    const core = createStartedCore();
    const kinds = new Set<string>();
    let now = 1;
    fc.assert(
      fc.property(peerMessage, fc.constantFrom('a', 'b', ''), (message, from) => {
        if (message === undefined) return;
        kinds.add(message.$case);
        now += 1;
        core.reduce({ kind: 'peerMessage', from, incarnation: 1, message }, now);
        core.reduce({ kind: 'timer', timer: 'announce' }, now);
      }),
      PARAMETERS,
    );
    // Ensures that the generator covers most kinds of message.
    expect(kinds.size).to.be.above(20);
    expect(core.state.configuration.view?.version).to.equal(1);
  });

  it('does not make the core throw on a log record', () => {
    const core = createStartedCore();
    let now = 1;
    const records = fc.array(record, { maxLength: 5 });
    fc.assert(
      fc.property(fc.constantFrom(...STREAMS), records, fc.nat(1_000), (stream, data, from) => {
        now += 1;
        const event: CoreEvent = {
          kind: 'logRead',
          stream,
          from,
          result: {
            kind: 'records',
            records: data.map((text, i) => ({ offset: from + i, data: text })),
            next: from + data.length,
          },
        };
        core.reduce(event, now);
        core.reduce({ kind: 'timer', timer: 'apply' }, now);
      }),
      PARAMETERS,
    );
    expect(core.state.configuration.view?.version).to.equal(1);
  });
});
