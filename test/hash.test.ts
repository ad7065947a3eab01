import { expect } from 'chai';
import { rendezvousScore } from '../src/core/hash.js';

const KEYS = Array.from({ length: 3_000 }, (_, i) => `engine-${i}`);
const NODES = Array.from({ length: 10 }, (_, i) => ({
  id: `instance-${i}`,
  weight: i < 5 ? 1 : 2,
}));

function choose(key: string, nodes: typeof NODES): string {
  const score = (node: (typeof NODES)[number]) => rendezvousScore(key, node.id, node.weight);
  return nodes.reduce((best, node) => (score(node) > score(best) ? node : best)).id;
}

describe('rendezvous hashing', () => {
  it('distributes keys in proportion to the weights of the nodes', () => {
    const counts = new Map<string, number>();
    KEYS.forEach((key) => {
      const node = choose(key, NODES);
      counts.set(node, (counts.get(node) ?? 0) + 1);
    });
    // Tolerates a deviation of six standard deviations of the binomial distribution.
    NODES.forEach(({ id, weight }) => {
      const p = weight / 15;
      const tolerance = 6 * Math.sqrt(KEYS.length * p * (1 - p));
      expect(Math.abs((counts.get(id) ?? 0) - KEYS.length * p), id).to.be.below(tolerance);
    });
  });

  it('reassigns only the keys of a removed node', () => {
    const remaining = NODES.slice(1);
    KEYS.forEach((key) => {
      const before = choose(key, NODES);
      if (before !== 'instance-0') expect(choose(key, remaining)).to.equal(before);
    });
  });
});
