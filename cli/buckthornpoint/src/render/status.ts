import {countEligibleMembers, maxEligibleSilenceMs} from '@buckthornpoint/configuration/eligible-members.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {StatusMember, StatusAnswer} from '../status-answer.js';
import {formatTable} from './tables.js';

/** Formats the status of a cell for people. */
export function formatStatus(answer: StatusAnswer): string {
	const {status, configuration} = answer;
	return [
		formatSummary(answer),
		formatTable(['service', 'tenant', 'owns keys', 'partitions', 'bearers'], configuration.services.map(service => [
			service.name,
			service.tenant,
			service.divided ? 'yes' : 'no',
			service.partitionCount,
			countMembers(answer, service.name),
		])),
		formatTable(['failure domain', 'state', 'VMs'], configuration.failureDomains.map(({name, out}) => [
			name,
			out ? 'out' : 'in service',
			status.members.filter(({failureDomain}) => failureDomain === name).length,
		])),
		formatTable(['VM', 'failure domain', 'backend server', 'service', 'state', 'partitions', 'version'], status.members.map(member => [
			member.vmId,
			member.failureDomain,
			member.backendServer?.name ?? '-',
			member.backendServer?.service ?? '-',
			formatState(member, configuration),
			member.partitionCount,
			member.configurationVersion ?? '?',
		])),
	].join('\n');
}

/** Formats the controller of the cell, the version in force and whether the store is reachable. */
export function formatSummary({status}: StatusAnswer): string {
	const controller = status.controller === undefined ? 'no controller known' : `controller ${status.controller.vmId} (epoch ${status.epoch})`;
	const store = status.storeReachable === undefined ? 'not contacted yet' : (status.storeReachable ? 'reachable' : 'not reachable');
	return `cell ${status.cell}: version ${status.configurationVersion} in force, map ${status.mapVersion}, ${controller}, store ${store} from ${status.node.vmId}`;
}

/** Formats the current state of a member in a few words. */
export function formatState(member: StatusMember, configuration: Configuration): string {
	if (configuration.deadVms.includes(member.vmId)) {
		return 'declared dead';
	}

	if (member.silentForMs !== undefined && member.silentForMs > maxEligibleSilenceMs) {
		return 'silent';
	}

	if (configuration.stoppingVms.includes(member.vmId)) {
		return 'stopping';
	}

	if (configuration.failureDomains.some(({name, out}) => out && name === member.failureDomain)) {
		return 'out';
	}

	return member.backendServer?.leaving === true ? 'leaving' : member.phase;
}

function countMembers({status, configuration}: StatusAnswer, service: string): number {
	const members = status.members.map(({backendServer, ...member}) => ({
		...member,
		backendServer: backendServer === undefined
			? undefined
			: {
				...backendServer, origin: '', slots: 0, checksFence: false, incarnation: '',
			},
	}));
	return countEligibleMembers(configuration, service, members);
}
