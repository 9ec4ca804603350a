import { decodeApiKey } from '@hickorybridge/platform';
import type { Route, RouteConfiguration, Tenant } from '@hickorybridge/types';

/** Who sent a request, as far as the configuration asks for it. */
export type CallerIdentity =
  | { readonly type: 'accepted'; readonly tenant: Tenant | undefined }
  | { readonly type: 'unknown-key' };

export interface IdentifyTenantOptions {
  readonly configuration: RouteConfiguration;
  readonly route: Route;
  /** Value of the `Authorization` header. */
  readonly authorization: string | undefined;
  /** Whether a backend server made the request while it runs another one. Such calls have no key. */
  readonly isNestedCall: boolean;
}

/**
 * Finds the tenant that holds the API key of a request in the configuration in force. So a key that
 * was removed is rejected on open connections, too.
 */
export function identifyTenant(options: IdentifyTenantOptions): CallerIdentity {
  const { authorization, configuration, isNestedCall, route } = options;
  const { tenantsByKey } = configuration;
  if (tenantsByKey === undefined) return { type: 'accepted', tenant: undefined };
  const key = decodeApiKey(authorization);
  const tenant = key === undefined ? undefined : tenantsByKey.get(key);
  const isAccepted = tenant !== undefined || route.isPublic === true || isNestedCall;
  return isAccepted ? { type: 'accepted', tenant } : { type: 'unknown-key' };
}
