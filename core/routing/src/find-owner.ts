import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {PartitionNumber} from '@buckthornpoint/types/identity.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';

/** The partition of a request and its owner. */
export type Destination = {
	readonly partition: PartitionNumber;
	/** Undefined when no VM can own the partition. */
	readonly owner: Member | undefined;
};

/** Returns the partition of a key and its owner. A key with its own owner (a key exception) has its own partition number, above those of the service. */
export function findDestination(table: RoutingTable, service: ServiceConfiguration, key: string): Destination {
	const placement = table.map.placements.find(candidate => candidate.service === service.name);
	const exceptionIndex = placement?.exceptions.findIndex(exception => exception.key === key) ?? -1;
	const exception = placement?.exceptions[exceptionIndex];
	if (exception !== undefined) {
		return {partition: service.partitionCount + exceptionIndex, owner: findMember(table, exception.owner)};
	}

	const partition = findPartition(key, service.partitionCount);
	return {partition, owner: findMember(table, table.map.vmIds[placement?.owners[partition] ?? -1])};
}

/** Returns the members whose backend servers may get new idempotent requests of a service that is not partitioned by key. */
export function listEligibleMembers(table: RoutingTable, configuration: Configuration, serviceName: string): readonly Member[] {
	const outDomains = new Set(configuration.failureDomains.filter(({out}) => out).map(({name}) => name));
	return table.members.filter(member => member.phase !== 'leaving'
		&& member.backendServer?.service === serviceName
		&& !member.backendServer.leaving
		&& !outDomains.has(member.failureDomain)
		&& !configuration.stoppingVms.includes(member.vmId)
		&& !configuration.deadVms.includes(member.vmId));
}

function findMember(table: RoutingTable, vmId: string | undefined): Member | undefined {
	return table.members.find(member => member.vmId === vmId);
}
