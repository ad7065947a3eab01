import { expect } from 'chai';
import { RoutingNews } from '../../src/protocol/generated/peer.js';
import type { RoutingEffect } from '../../src/routing/types.js';
import {
  answerOf,
  createConfiguration,
  createTestCore,
  effectsOf,
  LOOK_ROUTE,
  type TestCore,
} from './support/core.js';

const PUBLIC_ROUTE = { ...LOOK_ROUTE, isPublic: true };
/** Version in force; the test core starts with an older one. */
const OLD = 5;
const APPLY_MS = 2_500;
const MESSAGE_INTERVAL_MS = 200;

const configuration = (version: number) => createConfiguration({ version, routes: [PUBLIC_ROUTE] });

const isSent = (effects: readonly RoutingEffect[]) => effectsOf(effects, 'send').length > 0;
const isRead = (effects: readonly RoutingEffect[]) =>
  effectsOf(effects, 'pollConfiguration').length > 0;

describe('an instance that hears of a newer version while its own read of it is pending', () => {
  let core: TestCore;
  let sequence: number;

  beforeEach(() => {
    sequence = 0;
    core = createTestCore({ applyMs: APPLY_MS });
    core.configure(configuration(OLD));
    // The other instance is in another failure domain: there may be no other one in this one.
    const peer = {
      id: 'peer',
      incarnation: 1,
      address: '10.0.0.8:1',
      domain: 'domain-b',
      region: 'region-b',
    };
    const outcome = { kind: 'answered', cursor: 1, changes: [peer] } as const;
    core.dispatch({ kind: 'instancesPolled', askedAt: 0, isWhole: true, outcome });
  });

  function hear(configurationVersion: number): readonly RoutingEffect[] {
    sequence += 1;
    const message = { ...RoutingNews.decode(new Uint8Array()), sequence, configurationVersion };
    return core.dispatch({ kind: 'peerMessage', from: 'peer', incarnation: 1, message });
  }

  /** Hears of a version for a while; returns all effects. */
  function hearFor(ms: number, version: number): readonly RoutingEffect[] {
    const effects: RoutingEffect[] = [...hear(version)];
    for (let passed = 0; passed < ms; passed += MESSAGE_INTERVAL_MS) {
      core.advance(MESSAGE_INTERVAL_MS);
      effects.push(...hear(version));
    }
    return effects;
  }

  const look = () => core.arrive({ path: '/look/1' });

  it('reads anew, once', () => {
    expect(isRead(hear(OLD + 1))).to.equal(false);
    const effects = hearFor(APPLY_MS, OLD + 1);
    expect(effectsOf(effects, 'pollConfiguration')).to.have.lengthOf(1);
  });

  it('reads anew after failed reads too, as the platform answers the others', () => {
    const failed = { kind: 'failed', reason: 'silent' } as const;
    const askedAt = core.now();
    core.dispatch({ kind: 'configurationPolled', askedAt, isWhole: false, outcome: failed });
    core.advance(1_000);
    expect(isRead(core.dispatch({ kind: 'timer', timer: 'configurationPoll' }))).to.equal(true);
    expect(effectsOf(hearFor(1_000, OLD + 1), 'pollConfiguration')).to.have.lengthOf(1);
  });

  it('takes no answer of the read that it gave up', () => {
    const askedAt = core.now();
    hearFor(1_000, OLD + 1);
    const changes = [{ kind: 'configured', configuration: configuration(OLD) }] as const;
    const outcome = { kind: 'answered', cursor: 50, changes } as const;
    core.dispatch({ kind: 'configurationPolled', askedAt: askedAt - 1, isWhole: false, outcome });
    expect(core.routing.state.freshness.cursor).to.not.equal(50);
  });

  it('refuses what its own version allows at the time to apply, not long before, and is not ready', () => {
    hear(OLD + 1);
    expect(isSent(look())).to.equal(true);
    hearFor(APPLY_MS / 2, OLD + 1);
    expect(isSent(look())).to.equal(true);
    hearFor(APPLY_MS / 2 - 2 * MESSAGE_INTERVAL_MS, OLD + 1);
    expect(answerOf(look())).to.include({ status: 503, reason: 'staleConfiguration' });
    core.dispatch({ kind: 'timer', timer: 'health' });
    expect(core.routing.state.isReady).to.equal(false);
  });

  it('is not held back by further versions, one after the other', () => {
    hearFor(APPLY_MS / 3, OLD + 1);
    hearFor(APPLY_MS / 3, OLD + 2);
    hearFor(APPLY_MS / 3, OLD + 3);
    expect(answerOf(look())?.reason).to.equal('staleConfiguration');
  });

  it('serves again with the newer version', () => {
    hearFor(APPLY_MS, OLD + 1);
    core.configure(configuration(OLD + 1));
    expect(isSent(look())).to.equal(true);
    hearFor(APPLY_MS, OLD + 1);
    expect(isSent(look())).to.equal(true);
  });

  it('serves with the newer version that the read brings which was pending before', () => {
    const askedAt = core.now() - 1;
    core.advance(MESSAGE_INTERVAL_MS);
    hear(OLD + 1);
    const changes = [{ kind: 'configured', configuration: configuration(OLD + 1) }] as const;
    const outcome = { kind: 'answered', cursor: 50, changes } as const;
    core.dispatch({ kind: 'configurationPolled', askedAt, isWhole: false, outcome });
    hearFor(APPLY_MS, OLD + 1);
    expect(isSent(look())).to.equal(true);
  });

  it('serves again by its own if the platform does not have the newer one for long', () => {
    hearFor(APPLY_MS, OLD + 1);
    core.configure(configuration(OLD));
    expect(answerOf(look())?.reason).to.equal('staleConfiguration');
    core.advance(40_000);
    core.configure(configuration(OLD));
    hearFor(APPLY_MS, OLD + 1);
    core.configure(configuration(OLD));
    expect(isSent(look())).to.equal(true);
  });

  it('serves what needs no key while nobody tells of a newer one and the platform is away', () => {
    core.advance(20_000);
    hearFor(APPLY_MS, OLD);
    expect(isSent(look())).to.equal(true);
  });
});
