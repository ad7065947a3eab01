/** Executes the effects of the core by dispatching each to its host. */
import { Debug } from '../core/debug.js';
import type { AttemptPlan, Effect } from '../core/types.js';
import type {
  CallerHost,
  Logger,
  Metrics,
  OperatorHost,
  PeerHost,
  PlatformHost,
  Post,
  UpstreamHost,
} from '../hosts/types.js';
import type { EffectRunner } from './loop.js';

/** All hosts of an instance. */
export interface Hosts {
  readonly callers: CallerHost;
  readonly upstreams: UpstreamHost;
  readonly peers: PeerHost;
  readonly platform: PlatformHost;
  readonly operators: OperatorHost;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

export interface EffectRunnerOptions {
  readonly hosts: Hosts;
  readonly post: Post;
  readonly onStopped: () => void;
}

export function createEffectRunner({
  hosts,
  post,
  onStopped,
}: EffectRunnerOptions): EffectRunner<Effect> {
  const { callers, upstreams, peers, platform, operators, logger, metrics } = hosts;

  function dispatchAttempt(plan: AttemptPlan): void {
    const req = callers.getRequest(plan.requestId);
    const responseSink = callers.getResponseSink(plan.requestId);
    if (req === undefined || responseSink === undefined) {
      const detail = 'The caller is gone.';
      const { attemptId } = plan;
      post({ kind: 'attemptEnded', attemptId, outcome: { kind: 'notSent', detail } });
      return;
    }
    upstreams.dispatch(plan, req, responseSink);
  }

  return (effect) => {
    switch (effect.kind) {
      case 'dispatch':
        dispatchAttempt(effect.attempt);
        return;
      case 'cancelAttempt':
        upstreams.cancel(effect.attemptId, effect.upstream);
        return;
      case 'suspendAttempt':
        upstreams.suspend(effect.attemptId, effect.upstream);
        return;
      case 'resumeAttempt':
        upstreams.resume(effect.attemptId, effect.upstream);
        return;
      case 'moveCache':
        upstreams.moveCache(effect.attemptId, effect.fromUrl, effect.toUrl);
        return;
      case 'finishAnswer':
        callers.finishResponse(effect.requestId);
        return;
      case 'replayAnswer':
        callers.replayResponse(effect.requestId, effect.answer);
        return;
      case 'refuse':
        callers.refuse(effect.requestId, effect.problem);
        return;
      case 'fail':
        callers.fail(effect.requestId, effect.problem);
        return;
      case 'sendPeer':
        peers.send(effect.to, effect.address, effect.message);
        return;
      case 'dropPeer':
        peers.closeLink(effect.to);
        return;
      case 'readLog':
        platform.readLog(effect.stream, effect.from, effect.limit, effect.waitMs);
        return;
      case 'appendLog':
        platform.appendLog(effect.appendId, effect.stream, effect.records);
        return;
      case 'readInstanceList':
        platform.readInstanceList();
        return;
      case 'pollUpstream':
        upstreams.poll(effect.upstream, effect.url, effect.cacheAfter);
        return;
      case 'giveOrder':
        upstreams.sendOrder(effect.upstream, effect.url, effect.orderNumber, effect.order);
        return;
      case 'operatorReply':
        operators.reply(effect.commandId, effect.result);
        return;
      case 'audit':
        logger.audit(effect.entry);
        return;
      case 'count':
        metrics.count(effect.metric, effect.value, effect.tags);
        return;
      case 'log':
        logger.write(effect.level, effect.part, effect.code, effect.args);
        return;
      case 'setReady':
        callers.setReady(effect.ready);
        return;
      case 'stopped':
        onStopped();
        return;
      default:
        Debug.assertNever(effect);
    }
  };
}
