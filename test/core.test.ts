import { expect } from 'chai';
import { createCore } from '../src/core/core.js';
import type { Effect } from '../src/core/types.js';
import { createTestView, TEST_KEY_HASH } from './support/configuration.js';

const SELF = { id: 'a', incarnation: 1, address: '127.0.0.1:1', domain: 'd1', region: 'r1' };

function createStartedCore() {
  const core = createCore({ self: SELF, seed: 1, initialConfiguration: createTestView() });
  core.reduce({ kind: 'start' }, 0);
  return core;
}

function createRequestEvent(requestId: string, keyHash = TEST_KEY_HASH) {
  return {
    kind: 'callerRequest',
    requestId,
    keyHash,
    pool: 'chat',
    method: 'POST',
    path: '/v1/chat/completions',
    fingerprint: requestId,
    bodyBytes: 10,
    promptTokens: 5,
    prefixBlocks: [],
    streamed: true,
  } as const;
}

const kindsOf = (effects: readonly Effect[]) => effects.map((effect) => effect.kind);

describe('core', () => {
  it('carries a request from the caller to an upstream and back', () => {
    const core = createStartedCore();
    core.reduce(createRequestEvent('q1'), 10);
    const effects = core.reduce({ kind: 'timer', timer: 'announce' }, 30);
    const dispatch = effects.find((effect) => effect.kind === 'dispatch');
    expect(dispatch?.attempt).to.include({ requestId: 'q1', upstream: 'e1' });
    const attemptId = dispatch?.attempt.attemptId ?? '';
    const outcome = { kind: 'complete', status: 200, outputTokens: 3 } as const;
    const end = core.reduce({ kind: 'attemptEnded', attemptId, outcome }, 40);
    expect(kindsOf(end)).to.include('finishAnswer');
    expect(core.state.requests.active.size).to.equal(0);
  });

  it('refuses a request with an unknown key as not executed', () => {
    const core = createStartedCore();
    const [effect] = core.reduce(createRequestEvent('q1', 'nobody'), 10);
    expect(effect).to.deep.include({ kind: 'refuse', requestId: 'q1' });
    expect(effect?.kind === 'refuse' && effect.problem.executed).to.equal('no');
  });

  it('produces the same effects for the same events', () => {
    const run = () => {
      const core = createStartedCore();
      const events = ['q1', 'q2', 'q3'].map((id) => core.reduce(createRequestEvent(id), 10));
      return [...events, core.reduce({ kind: 'timer', timer: 'announce' }, 30)];
    };
    expect(run()).to.deep.equal(run());
  });

  it('dispatches accepted requests before it stops', () => {
    const core = createStartedCore();
    core.reduce(createRequestEvent('q1'), 10);
    expect(kindsOf(core.reduce({ kind: 'plannedStop' }, 11))).to.not.include('stopped');
    const effects = core.reduce({ kind: 'timer', timer: 'announce' }, 30);
    expect(kindsOf(effects)).to.include('dispatch');
  });
});
