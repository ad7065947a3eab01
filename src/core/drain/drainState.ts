/** State of this instance's own planned stop. */
export interface DrainState {
  isStopping: boolean;
  hasStopped: boolean;
}

export function createDrainState(): DrainState {
  return { isStopping: false, hasStopped: false };
}
