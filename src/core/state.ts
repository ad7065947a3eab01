/**
 * State of the core, with one member per module. Each member is modified only by the sub-reducers
 * of its folder. Updates are made in place: copying the state of thousands of customers on every
 * event would exceed the CPU budget.
 */
import type { AuditState } from './audit/auditState.js';
import type { MembershipState } from './membership/membershipState.js';
import type { OwnershipState } from './ownership/ownershipState.js';
import type { SharesState } from './shares/sharesState.js';
import type { DispatchState } from './dispatch/dispatchState.js';
import type { RequestsState } from './requests/requestsState.js';
import type { AttemptsState } from './attempts/attemptsState.js';
import type { ConfigurationState } from './configuration/configurationState.js';
import type { ClaimsState } from './claims/claimsState.js';
import type { DrainState } from './drain/drainState.js';
import type { OrdersState } from './orders/ordersState.js';
import type { LimitsState } from './limits/limitsState.js';
import type { QuarantineState } from './quarantine/quarantineState.js';
import type { RetriesState } from './retries/retriesState.js';
import type { Random } from './random.js';
import type { CoreSettings } from './settings.js';
import type { InstanceIdentity } from './types.js';

export interface CoreState {
  readonly self: InstanceIdentity;
  readonly settings: CoreSettings;
  readonly random: Random;
  readonly membership: MembershipState;
  readonly ownership: OwnershipState;
  readonly configuration: ConfigurationState;
  readonly shares: SharesState;
  readonly dispatch: DispatchState;
  readonly limits: LimitsState;
  readonly requests: RequestsState;
  readonly attempts: AttemptsState;
  readonly retries: RetriesState;
  readonly claims: ClaimsState;
  readonly quarantine: QuarantineState;
  readonly drain: DrainState;
  readonly orders: OrdersState;
  readonly audit: AuditState;
}
