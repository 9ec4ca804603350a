export * from './BrokerMembership.js';
export * from './chooseBrokers.js';
export * from './QuotaBroker.js';
export * from './quotaMessages.js';
export * from './quotaRates.js';
export * from './Quotas.js';
export * from './TenantTokens.js';
export * from './TokenBatch.js';
