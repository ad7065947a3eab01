/** State of the accepted requests of this instance that have not ended yet. */
import type { ActiveRequest, RequestId } from '../types.js';

export interface RequestsState {
  readonly active: Map<RequestId, ActiveRequest>;
}

export function createRequestsState(): RequestsState {
  return { active: new Map() };
}
