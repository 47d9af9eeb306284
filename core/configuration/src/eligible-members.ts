import type {Finding} from '@buckthornpoint/errors/findings.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {FailureDomainName, VmId} from '@buckthornpoint/types/identity.js';
import type {BackendServer, MemberPhase} from '@buckthornpoint/types/membership.js';

/** How long a member may be silent and still count as eligible for requests. */
export const maxEligibleSilenceMs = 3000;

/** The properties of a member that decisions about the configuration depend on. */
export type ConfigurationMember = {
	readonly vmId: VmId;
	readonly failureDomain: FailureDomainName;
	readonly phase: MemberPhase;
	readonly backendServer?: BackendServer;
	/** Time since its last heartbeat; undefined if it is not known. */
	readonly silentForMs?: number;
};

/** Finds services that have eligible members under `before` and would have none under `after`. */
export function checkEligibleMembers(before: Configuration, after: Configuration, members: readonly ConfigurationMember[]): readonly Finding[] {
	return after.services.flatMap(({name}) => {
		const count = countEligibleMembers(before, name, members);
		return count > 0 && countEligibleMembers(after, name, members) === 0
			? [{
				code: 'ERR_WOULD_LEAVE_NO_BEARER' as const,
				message: `the service "${name}" would be left without a backend server (it has ${count} now)`,
				hint: 'bring another failure domain or VM back first, or use --force',
			}]
			: [];
	});
}

/** Counts the members whose backend servers may get new requests of a service. */
export function countEligibleMembers(configuration: Configuration, service: string, members: readonly ConfigurationMember[]): number {
	return members.filter(member => isEligible(configuration, service, member)).length;
}

function isEligible(configuration: Configuration, service: string, member: ConfigurationMember): boolean {
	const {backendServer, silentForMs} = member;
	const isOut = configuration.failureDomains.some(({name, out}) => name === member.failureDomain && out);
	const isStoppingOrDead = configuration.stoppingVms.includes(member.vmId) || configuration.deadVms.includes(member.vmId);
	const isReporting = silentForMs === undefined || silentForMs <= maxEligibleSilenceMs;
	const serves = backendServer?.service === service && !backendServer.leaving;
	return serves && !isOut && !isStoppingOrDead && isReporting && member.phase !== 'leaving';
}
