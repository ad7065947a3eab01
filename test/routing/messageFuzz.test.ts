import { expect } from 'chai';
import fc from 'fast-check';
import { hash32 } from '../../src/core/hash.js';
import { RoutingNews } from '../../src/protocol/generated/peer.js';
import { createTestCore, effectsOf, type TestCore } from './support/core.js';

/** `FUZZ_RUNS=N FUZZ_SEED=S npm test` runs another number of cases and uses another seed than CI. */
const NUM_RUNS = Number(process.env.FUZZ_RUNS ?? 500);
const SEED = Number(process.env.FUZZ_SEED ?? 29);
const PEER = { id: 'instance-0', incarnation: 1, address: '10.0.0.8:7400' };
const EMPTY = RoutingNews.decode(new Uint8Array());

const count = fc.oneof(fc.nat(20), fc.constantFrom(0, 2 ** 31, Number.MAX_SAFE_INTEGER));
const amount = fc.oneof(fc.double(), count);
const name = fc.constantFrom('', 'i-1', 'i-2', 'i-9', 'models', 'desk', '10.0.0.1:1001');

const listChange = fc.record({
  offset: count,
  id: name,
  isRemoved: fc.boolean(),
  pool: name,
  address: name,
  domain: name,
  slots: amount,
  version: name,
  isDraining: fc.boolean(),
  startedAt: amount,
  beat: amount,
});

const list = fc.record({
  cursor: count,
  from: count,
  ageMs: count,
  changes: fc.array(listChange, { maxLength: 5 }),
  era: count,
});

const rateLimit = fc.record({
  upstream: count,
  perSecond: amount,
  isEnded: fc.boolean(),
  ageMs: count,
  wantedPerSecond: amount,
  sent: count,
});

const leaving = fc.record({ upstream: count, ageMs: count });

const streams = fc.record({ version: count, streams: fc.array(count, { maxLength: 4 }) });

const news = fc.record({
  streams: fc.array(streams, { maxLength: 3 }),
  leaving: fc.array(leaving, { maxLength: 3 }),
  rateLimits: fc.array(rateLimit, { maxLength: 3 }),
  upstreams: fc.array(count, { maxLength: 4 }),
  running: fc.array(count, { maxLength: 4 }),
  pendingTokens: fc.array(count, { maxLength: 4 }),
  heldTokens: fc.array(count, { maxLength: 4 }),
  customers: fc.array(count, { maxLength: 4 }),
  asked: fc.array(count, { maxLength: 4 }),
  admitted: fc.array(count, { maxLength: 4 }),
  suspects: fc.array(count, { maxLength: 4 }),
  crashes: fc.array(count, { maxLength: 4 }),
  readParts: fc.array(count, { maxLength: 4 }),
  readAt: fc.array(count, { maxLength: 4 }),
  instances: count,
  domain: fc.constantFrom('', 'domain-a', 'domain-b'),
  isLeaving: fc.boolean(),
  configurationVersion: count,
  confirmationAgeMs: count,
  heardFrom: fc.array(count, { maxLength: 3 }),
  heardSequences: fc.array(count, { maxLength: 3 }),
  list: fc.option(list, { nil: undefined }),
});

/** Sends a request; returns how often it was sent to an upstream or answered. */
function countDecisions(core: TestCore): number {
  core.configure();
  const effects = core.arrive();
  return effectsOf(effects, 'send').length + effectsOf(effects, 'answer').length;
}

describe('messages of a faulty instance', () => {
  it('end no process, and leave each request with one decision', () => {
    fc.assert(
      fc.property(fc.array(news, { maxLength: 6 }), (messages) => {
        const core = createTestCore();
        const announced = { ...PEER, domain: 'domain-a', region: 'region-a' };
        const outcome = { kind: 'answered', cursor: 1, changes: [announced] } as const;
        core.dispatch({ kind: 'instancesPolled', askedAt: 0, isWhole: true, outcome });
        core.dispatch({ kind: 'timer', timer: 'exchange' });
        messages.forEach((fields, i) => {
          // Only a message that acknowledges one of this instance confirms anything.
          const acknowledged = {
            heardFrom: [hash32('instance-1 1'), ...fields.heardFrom],
            heardSequences: [core.routing.state.exchange.sequence, ...fields.heardSequences],
          };
          const message = { ...EMPTY, ...fields, ...acknowledged, sequence: i + 1 };
          core.dispatch({
            kind: 'peerMessage',
            from: PEER.id,
            incarnation: PEER.incarnation,
            message,
          });
          core.dispatch({ kind: 'timer', timer: 'exchange' });
          core.dispatch({ kind: 'timer', timer: 'health' });
          core.advance(100);
          expect(countDecisions(core)).to.equal(1);
        });
      }),
      { numRuns: NUM_RUNS, seed: SEED },
    );
  });

  it('are decoded or refused whatever their bytes are', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
        try {
          expect(RoutingNews.decode(bytes)).to.be.an('object');
        } catch (err) {
          expect(err).to.be.an.instanceof(Error);
        }
      }),
      { numRuns: NUM_RUNS, seed: SEED },
    );
  });
});
