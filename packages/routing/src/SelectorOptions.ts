import type { RoutingSettings } from '@hickorybridge/configuration';
import type { BackendServerDirectory } from '@hickorybridge/types';
import type { Clock, RandomSource } from '@hickorybridge/utils';
import type { SelectorContext } from './BackendServerSelector.js';

/** Dependencies and settings of a selector. */
export interface SelectorOptions {
  readonly settings: RoutingSettings;
  readonly context: SelectorContext;
  readonly directory: BackendServerDirectory;
  readonly clock: Clock;
  readonly random: RandomSource;
}
