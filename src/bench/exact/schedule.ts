/** Simulated time. Actions run in time order; actions due at the same time run in the order scheduled. */
import type { Millis } from '../../core/clock.js';

export interface Schedule {
  readonly now: () => Millis;
  /** Runs `action` after `delay`. */
  readonly after: (delay: Millis, action: () => void) => void;
  /** Runs all actions due up to `time`, then sets the current time to it. */
  readonly runUntil: (time: Millis) => void;
}

interface Entry {
  readonly at: Millis;
  readonly order: number;
  readonly action: () => void;
}

export function createSchedule(): Schedule {
  const heap: Entry[] = [];
  let current: Millis = 0;
  let order = 0;

  const after = (delay: Millis, action: () => void) => {
    order += 1;
    push(heap, { at: current + Math.max(0, delay), order, action });
  };

  const runUntil = (time: Millis) => {
    for (let next = heap[0]; next !== undefined && next.at <= time; [next] = heap) {
      pop(heap);
      current = next.at;
      next.action();
    }
    current = Math.max(current, time);
  };

  return { now: () => current, after, runUntil };
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.at === b.at ? a.order < b.order : a.at < b.at;
}

/** Inserts an entry into a binary min-heap ordered by time. */
function push(heap: Entry[], entry: Entry): void {
  let index = heap.length;
  heap.push(entry);
  while (index > 0) {
    const parent = (index - 1) >> 1;
    const above = heap[parent] as Entry;
    if (!isBefore(entry, above)) break;
    heap[index] = above;
    index = parent;
  }
  heap[index] = entry;
}

/** Removes the earliest entry from the heap. */
function pop(heap: Entry[]): void {
  const last = heap.pop() as Entry;
  if (heap.length === 0) return;
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    if (left >= heap.length) break;
    const right = left + 1;
    const isRightLess = right < heap.length && isBefore(heap[right] as Entry, heap[left] as Entry);
    const child = isRightLess ? right : left;
    if (!isBefore(heap[child] as Entry, last)) break;
    heap[index] = heap[child] as Entry;
    index = child;
  }
  heap[index] = last;
}
