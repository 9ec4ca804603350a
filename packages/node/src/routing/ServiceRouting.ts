import type { RoutingSettings } from '@hickorybridge/configuration';
import type { RetryBudget } from '@hickorybridge/coordination';
import { HedgePolicy, createRetryBudget } from '@hickorybridge/routing';
import type { Clock } from '@hickorybridge/utils';

/** Budgets of one service at one router. */
export class ServiceRouting {
  readonly retryBudget: RetryBudget;

  readonly hedgePolicy: HedgePolicy;

  constructor(settings: RoutingSettings, clock: Clock) {
    this.retryBudget = createRetryBudget(settings.retryShare, clock);
    this.hedgePolicy = new HedgePolicy({ share: settings.hedgeShare, clock });
  }

  /** Counts a request, from which the budgets are earned. */
  firstTry(): void {
    this.retryBudget.recordFirstAttempt();
    this.hedgePolicy.firstTry();
  }
}
