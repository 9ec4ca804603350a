import type { ControlChannel } from '@hickorybridge/types';
import type { LivenessTracker } from './LivenessTracker.js';
import type { NodeIndex } from './NodeIndex.js';
import { type RoleAssignment, RoleName } from './RoleAssignment.js';

/** What a reporter has last heard from a node of its failure domain. */
export interface ReportedContact {
  readonly nodeId: string;
  /** Number of the deployment in effect there; 0 when there is none. */
  readonly deploymentNumber: number;
  readonly ageMilliseconds: number;
}

/** Contacts of all failure domains, and the domains of which no reporter has answered. */
export interface FleetContacts {
  readonly contacts: readonly ReportedContact[];
  readonly unreachableFailureDomains: readonly string[];
}

/** Settings of the inquiry. */
export interface FleetInquiryOptions {
  readonly channel: ControlChannel;
  readonly index: NodeIndex;
  readonly roles: RoleAssignment;
  readonly tracker: LivenessTracker;
  /** Contact of this node with itself. */
  readonly describeOwn: () => ReportedContact;
}

const callName = 'membership/contacts';
const callTimeoutMilliseconds = 1000;

/** Asks the reporters of all failure domains, so that an idle fleet need not exchange numbers. */
export class FleetInquiry {
  readonly #options: FleetInquiryOptions;

  constructor(options: FleetInquiryOptions) {
    this.#options = options;
    options.channel.handle(callName, () => ({ contacts: this.#contacts() }));
  }

  /** Asks one reporter of each failure domain, or the other when the first does not answer. */
  async ask(): Promise<FleetContacts> {
    const domains = this.#options.index.failureDomains();
    const answers = await Promise.all(domains.map((domain) => this.#askDomain(domain)));
    return {
      contacts: answers.flatMap((answer) => answer ?? []),
      unreachableFailureDomains: domains.filter((_, index) => answers[index] === undefined),
    };
  }

  async #askDomain(failureDomain: string): Promise<readonly ReportedContact[] | undefined> {
    const { roles, channel, describeOwn } = this.#options;
    for (const nodeId of roles.holdersIn(RoleName.reporter, failureDomain)) {
      if (nodeId === describeOwn().nodeId) return this.#contacts();
      const result = await channel.call(nodeId, callName, {}, callTimeoutMilliseconds);
      if (result.ok) return parseContacts(result.value);
    }
    return undefined;
  }

  #contacts(): ReportedContact[] {
    const { index, tracker, describeOwn } = this.#options;
    const own = describeOwn();
    const heard = index.all().flatMap(({ nodeId }): ReportedContact[] => {
      const heartbeat = nodeId === own.nodeId ? undefined : tracker.heartbeatOf(nodeId);
      return heartbeat === undefined ? [] : [{ nodeId, ...heartbeat }];
    });
    return [own, ...heard];
  }
}

function parseContacts(body: unknown): ReportedContact[] {
  const contacts = (body as { readonly contacts?: unknown } | null)?.contacts;
  if (!Array.isArray(contacts)) return [];
  return contacts.filter((item): item is ReportedContact => {
    const contact = item as Partial<ReportedContact> | null;
    if (typeof contact?.nodeId !== 'string') return false;
    return (
      typeof contact.deploymentNumber === 'number' && typeof contact.ageMilliseconds === 'number'
    );
  });
}
