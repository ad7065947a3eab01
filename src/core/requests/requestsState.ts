/** State of the requests that this instance has accepted and not yet ended. */
import type { ActiveRequest, RequestId } from '../types.js';

export interface RequestsState {
  readonly active: Map<RequestId, ActiveRequest>;
}

export function createRequestsState(): RequestsState {
  return { active: new Map() };
}
