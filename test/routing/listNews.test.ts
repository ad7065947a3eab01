import { expect } from 'chai';
import fc from 'fast-check';
import { createRouting, type Routing } from '../../src/routing/routing.js';
import { ageOfRead } from '../../src/routing/freshness/sharedRead.js';
import type {
  ListedUpstream,
  RoutingEffect,
  RoutingEvent,
  UpstreamChange,
} from '../../src/routing/types.js';
import { createUpstreamEntry } from './support/core.js';

type Poll = Extract<RoutingEffect, { readonly kind: 'pollUpstreams' }>;

interface PendingPoll extends Poll {
  readonly askedAt: number;
  /** Length of the platform's log when the read was sent. */
  readonly end: number;
}

interface Member {
  readonly routing: Routing;
  polls: PendingPoll[];
  isPlatformCut: boolean;
  isSuspended: boolean;
  /** Time that its clock did not count. */
  missedMs: number;
  nextTimerAt: number;
}

const ROUND_MS = 200;
const DRAIN_MS = 2_500;

/** The upstreams that the platform lists after the first `end` records of its log. */
function listAt(log: readonly UpstreamChange[], end: number): Map<string, ListedUpstream> {
  const list = new Map<string, ListedUpstream>();
  log.slice(0, end).forEach((change) => {
    if (change.kind === 'listed') list.set(change.upstream.id, change.upstream);
    if (change.kind === 'removed') list.delete(change.id);
  });
  return list;
}

/** What a request needs to know of a list: where it may go, and which start is there. */
const essence = (list: Iterable<ListedUpstream>) =>
  [...list].map(({ id, phase, startedAt }) => `${id} ${phase} ${startedAt}`).sort();

/** The instances of one failure domain, the platform's log of upstreams, and their network. */
function createListDomain(count: number) {
  const ids = Array.from({ length: count }, (_, i) => `i${String(i).padStart(2, '0')}`);
  const log: UpstreamChange[] = [];
  const appendedAt: number[] = [];
  const members = new Map<string, Member>();
  let time = 1_000_000;
  let reads = 0;
  let messages: { readonly to: string; readonly event: RoutingEvent }[] = [];

  const memberOf = (id: string): Member => {
    const member = members.get(id);
    if (member === undefined) throw new Error(`no instance ${id}`);
    return member;
  };
  const clockOf = (id: string) => time - memberOf(id).missedMs;

  function dispatch(id: string, event: RoutingEvent): void {
    const member = memberOf(id);
    const { incarnation } = member.routing.state.self;
    member.routing.reduce(event, clockOf(id)).forEach((effect) => {
      if (effect.kind === 'pollUpstreams') {
        reads += 1;
        member.polls.push({ ...effect, askedAt: clockOf(id), end: log.length });
      } else if (effect.kind === 'setTimer' && effect.timer === 'upstreamPoll') {
        member.nextTimerAt = effect.at;
      } else if (effect.kind === 'sendPeer' && effect.message.$case === 'routingNews') {
        const { value: message } = effect.message;
        const arrival = { kind: 'peerMessage', from: id, incarnation, message } as const;
        messages.push({ to: effect.to, event: arrival });
      }
    });
  }

  /** Answers the oldest pending read of an instance with the log at the time it was sent. */
  function answer(id: string): void {
    const member = memberOf(id);
    const poll = member.polls.shift();
    if (poll === undefined || member.isSuspended) return;
    const { askedAt, cursor, end } = poll;
    const isWhole = cursor === undefined;
    if (member.isPlatformCut) {
      const outcome = { kind: 'failed', reason: 'cut' } as const;
      dispatch(id, { kind: 'upstreamsPolled', askedAt, isWhole, from: cursor, outcome });
      return;
    }
    const changes = isWhole
      ? [...listAt(log, end).values()].map((upstream) => ({ kind: 'listed', upstream }) as const)
      : log.slice(cursor, end);
    const outcome = { kind: 'answered', cursor: end, changes } as const;
    dispatch(id, { kind: 'upstreamsPolled', askedAt, isWhole, from: cursor, outcome });
  }

  function append(change: UpstreamChange): void {
    log.push(change);
    appendedAt.push(time);
  }

  append({ kind: 'listed', upstream: createUpstreamEntry('e1') });
  append({ kind: 'listed', upstream: createUpstreamEntry('e2') });
  ids.forEach((id, i) => {
    const self = { id, incarnation: 1, address: `10.0.0.${i}:1`, domain: 'd', region: 'r' };
    const settings = { meshInstances: 1_000, drainMs: DRAIN_MS };
    members.set(id, {
      routing: createRouting({ self, settings, seed: i + 1 }),
      polls: [],
      isPlatformCut: false,
      isSuspended: false,
      missedMs: 0,
      nextTimerAt: Infinity,
    });
  });
  const announced = [...members.values()].map(({ routing }) => routing.state.self);
  ids.forEach((id) => {
    dispatch(id, { kind: 'start' });
    const outcome = { kind: 'answered', cursor: 1, changes: announced } as const;
    dispatch(id, { kind: 'instancesPolled', outcome });
    answer(id);
  });

  const running = () => ids.filter((id) => !memberOf(id).isSuspended);
  return {
    ids,
    log,
    append,
    reads: () => reads,
    advance: (ms: number) => {
      time += ms;
      ids.forEach((id) => {
        if (memberOf(id).isSuspended) memberOf(id).missedMs += ms;
      });
    },
    /** Fires the timers that are due, and sends the messages of one exchange. */
    runTimers: () =>
      running().forEach((id) => {
        dispatch(id, { kind: 'timer', timer: 'exchange' });
        if (clockOf(id) < memberOf(id).nextTimerAt) return;
        memberOf(id).nextTimerAt = Infinity;
        dispatch(id, { kind: 'timer', timer: 'upstreamPoll' });
      }),
    answer,
    answerAll: () => ids.forEach(answer),
    deliver: (place: number) => {
      const [message] = messages.splice(place % Math.max(1, messages.length), 1);
      if (message !== undefined && !memberOf(message.to).isSuspended)
        dispatch(message.to, message.event);
    },
    drop: (place: number) => messages.splice(place % Math.max(1, messages.length), 1),
    deliverAll: () => {
      const arriving = messages;
      messages = [];
      arriving.forEach(({ to, event }) => {
        if (!memberOf(to).isSuspended) dispatch(to, event);
      });
    },
    setCut: (id: string, isCut: boolean) => {
      memberOf(id).isPlatformCut = isCut;
    },
    suspend: (id: string) => {
      memberOf(id).isSuspended = true;
    },
    wake: (id: string) => {
      const member = memberOf(id);
      if (!member.isSuspended) return;
      member.isSuspended = false;
      dispatch(id, { kind: 'clockGap', gapMs: member.missedMs });
    },
    listOf: (id: string) => memberOf(id).routing.state.upstreams,
    /** Whether an instance's list is the one of its position in the log. */
    isOfItsPosition: (id: string): boolean => {
      const { byId, cursor = 0 } = memberOf(id).routing.state.upstreams;
      const known = [...byId.values()].filter(({ missingSince }) => missingSince === undefined);
      const expected = essence(listAt(log, cursor).values());
      return essence(known.map(({ listed }) => listed)).join() === expected.join();
    },
    /** Whether nothing was appended before an instance's confirmation that it does not know. */
    isConfirmationCorrect: (id: string): boolean => {
      // A suspended instance decides nothing; it learns how long it was away before it does.
      if (memberOf(id).isSuspended) return true;
      const { state } = memberOf(id).routing;
      const ageMs = ageOfRead({ state, now: clockOf(id), effects: [] }, state.upstreams);
      if (ageMs === undefined) return true;
      const known = state.upstreams.cursor ?? 0;
      return !appendedAt.some((at, offset) => at < time - ageMs && offset >= known);
    },
  };
}

type ListDomain = ReturnType<typeof createListDomain>;

function runRound(domain: ListDomain): void {
  domain.advance(ROUND_MS);
  domain.deliverAll();
  domain.runTimers();
  domain.answerAll();
}

function runRounds(domain: ListDomain, count: number): void {
  for (let i = 0; i < count; i += 1) runRound(domain);
}

/** Checks that all instances know the platform's list. */
function expectAllKnow(domain: ListDomain): void {
  const expected = essence(listAt(domain.log, domain.log.length).values());
  domain.ids.forEach((id) => {
    const known = [...domain.listOf(id).byId.values()].map(({ listed }) => listed);
    expect(essence(known), id).to.deep.equal(expected);
  });
}

const drainingEntry = (id: string) => createUpstreamEntry(id, { phase: 'draining', beat: 2 });

describe('upstream list within a failure domain', () => {
  it('is read by one instance for all, however many there are', () => {
    const readsFor = (count: number) => {
      const domain = createListDomain(count);
      runRounds(domain, 10);
      const before = domain.reads();
      runRounds(domain, 50);
      return domain.reads() - before;
    };
    const perInterval = (50 * ROUND_MS) / (DRAIN_MS / 4);
    [3, 10, 32].forEach((count) =>
      expect(readsFor(count), `${count}`).to.be.at.most(perInterval + 1),
    );
  });

  it('brings a change to all instances well within the time to drain', () => {
    const domain = createListDomain(32);
    runRounds(domain, 10);
    domain.append({ kind: 'listed', upstream: drainingEntry('e1') });
    domain.append({ kind: 'listed', upstream: createUpstreamEntry('e3') });
    domain.append({ kind: 'removed', id: 'e2' });
    runRounds(domain, Math.floor((DRAIN_MS * 0.6) / ROUND_MS));
    expectAllKnow(domain);
  });

  ['cut from the platform', 'suspended'].forEach((trouble) => {
    it(`reaches all in the time to drain while its reader is ${trouble}`, () => {
      const domain = createListDomain(8);
      runRounds(domain, 10);
      if (trouble === 'suspended') domain.suspend('i00');
      else domain.setCut('i00', true);
      runRounds(domain, 2);
      domain.append({ kind: 'listed', upstream: drainingEntry('e1') });
      runRounds(domain, DRAIN_MS / ROUND_MS);
      domain.ids.slice(1).forEach((id) => {
        expect(domain.listOf(id).byId.get('e1')?.listed.phase, id).to.equal('draining');
      });
    });
  });

  it('is read at once by a reader that wakes with an old one', () => {
    const domain = createListDomain(3);
    runRounds(domain, 10);
    domain.suspend('i00');
    domain.append({ kind: 'removed', id: 'e1' });
    runRounds(domain, 30);
    domain.wake('i00');
    runRounds(domain, 4);
    expectAllKnow(domain);
  });

  it('drops what leaves the list at once where only the reader had lost the platform', () => {
    const domain = createListDomain(3);
    runRounds(domain, 10);
    domain.setCut('i00', true);
    while (domain.listOf('i00').failures === 0) runRound(domain);
    domain.setCut('i00', false);
    domain.append({ kind: 'removed', id: 'e1' });
    const end = domain.log.length;
    while (domain.ids.some((id) => domain.listOf(id).cursor !== end)) runRound(domain);
    const knowing = domain.ids.filter((id) => domain.listOf(id).byId.has('e1'));
    expect(knowing).to.deep.equal(['i00']);
    runRounds(domain, 12);
    expect(domain.listOf('i00').byId.has('e1')).to.equal(false);
  });

  it('does not return to an older one by an answer that was under way', () => {
    const domain = createListDomain(3);
    runRounds(domain, 10);
    domain.setCut('i00', true);
    runRounds(domain, 8);
    domain.setCut('i00', false);
    domain.append({ kind: 'removed', id: 'e1' });
    domain.append({ kind: 'listed', upstream: createUpstreamEntry('e1', { startedAt: 2 }) });
    for (let i = 0; i < 20; i += 1) {
      runRound(domain);
      domain.ids.forEach((id) => expect(domain.isOfItsPosition(id), id).to.equal(true));
    }
    expectAllKnow(domain);
  });

  it('is always one that the platform had, and never believed to be newer than it is', () => {
    const upstream = fc.constantFrom('e1', 'e2', 'e3', 'e4');
    const instance = fc.constantFrom('i00', 'i01', 'i02');
    const step = fc.oneof(
      { weight: 8, arbitrary: fc.constant({ kind: 'round' } as const) },
      { weight: 3, arbitrary: fc.record({ kind: fc.constant('list' as const), id: upstream }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('drain' as const), id: upstream }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('remove' as const), id: upstream }) },
      { weight: 4, arbitrary: fc.record({ kind: fc.constant('deliver' as const), at: fc.nat() }) },
      { weight: 4, arbitrary: fc.record({ kind: fc.constant('drop' as const), at: fc.nat() }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('answer' as const), id: instance }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('timers' as const) }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant('suspend' as const), id: instance }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant('wake' as const), id: instance }) },
      { weight: 2, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.nat(900) }) },
    );
    fc.assert(
      fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
        const domain = createListDomain(3);
        let started = 1;
        const latest = (id: string) => listAt(domain.log, domain.log.length).get(id);
        const apply = (one: (typeof steps)[number]): void => {
          switch (one.kind) {
            case 'list':
              started += 1;
              domain.append({
                kind: 'listed',
                upstream: createUpstreamEntry(one.id, { startedAt: started }),
              });
              return;
            case 'drain': {
              const known = latest(one.id);
              if (known === undefined) return;
              const drained = { ...known, phase: 'draining', beat: known.beat + 1 } as const;
              domain.append({ kind: 'listed', upstream: drained });
              return;
            }
            case 'remove':
              if (latest(one.id) === undefined) return;
              domain.append({ kind: 'removed', id: one.id });
              return;
            case 'deliver':
              domain.deliver(one.at);
              return;
            case 'drop':
              domain.drop(one.at);
              return;
            case 'answer':
              domain.answer(one.id);
              return;
            case 'timers':
              domain.runTimers();
              return;
            case 'suspend':
              domain.suspend(one.id);
              return;
            case 'wake':
              domain.wake(one.id);
              return;
            case 'wait':
              domain.advance(one.ms);
              return;
            default:
              runRound(domain);
          }
        };
        steps.forEach((one) => {
          apply(one);
          domain.ids.forEach((id) => {
            expect(domain.isOfItsPosition(id), `list of ${id}`).to.equal(true);
            expect(domain.isConfirmationCorrect(id), `confirmation of ${id}`).to.equal(true);
          });
        });
        domain.ids.forEach((id) => domain.wake(id));
        runRounds(domain, 30);
        expectAllKnow(domain);
      }),
      { numRuns: 300, seed: 28 },
    );
  });
});
