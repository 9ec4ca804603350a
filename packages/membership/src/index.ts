export { type AnnounceOutcome, announcementLapseMilliseconds } from './LocalAnnouncements.js';
export { createMembership, type DeploymentListener, Membership } from './Membership.js';
export * from './MembershipOptions.js';
export * from './MembershipSummary.js';
export type { AnnouncedBackendServer, NodeRecord } from './NodeRecord.js';
export { PacedStore, type PacedStoreOptions } from './PacedStore.js';
export { RoleName } from './RoleAssignment.js';
