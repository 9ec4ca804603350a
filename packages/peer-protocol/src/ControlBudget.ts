import type { Distance } from '@hickorybridge/types';

/** Limits what a node sends to its peers for control. */
export interface ControlBudget {
  /** Whether a control call may be sent to a peer at this distance now. */
  permits(name: string, distance: Distance): boolean;
  /** Counts bytes that were sent for control. */
  spend(distance: Distance, bytes: number): void;
}

/** Permits every call. */
export const unlimitedControlBudget: ControlBudget = { permits: () => true, spend: () => {} };
