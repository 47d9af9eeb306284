import {createOperatorFailure, type KeyExplanation, type OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import type {Timestamp} from '@buckthornpoint/clock/clock.js';
import type {OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import {formatFence, formatPartitionId} from '@buckthornpoint/types/identity.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import {err, ok, type Result} from 'neverthrow';

/** State of a node that determines the owner of a key. */
export type OwnershipState = {
	readonly configuration: Configuration;
	readonly routing: RoutingTable;
	readonly ownership: OwnershipView;
	readonly now: Timestamp;
};

/** Explains which partition a key belongs to and why its owner was chosen. */
export function findKeyExplanation(service: string, key: string, state: OwnershipState): Result<KeyExplanation, OperatorFailure> {
	const known = state.configuration.services.find(({name}) => name === service);
	return known === undefined
		? err(createOperatorFailure('ERR_SERVICE_UNKNOWN', `no service is called "${service}"; known are ${state.configuration.services.map(({name}) => name).join(', ') || 'none'}`))
		: ok(createExplanation(known, key, state));
}

type KeyPlacement = {
	readonly partition: number;
	readonly isException: boolean;
	readonly owner: Member | undefined;
};

function createExplanation(service: ServiceConfiguration, key: string, state: OwnershipState): KeyExplanation {
	const keyPlacement = findKeyPlacement(service, key, state.routing);
	const {owner} = keyPlacement;
	const explanation = {
		service: service.name,
		key,
		partition: keyPlacement.partition,
		partitionCount: service.partitionCount,
		isException: keyPlacement.isException,
		mapVersion: state.routing.map.version,
		grant: findGrant(service, keyPlacement, state),
		reasons: listReasons(service, keyPlacement, state),
	};
	return owner === undefined
		? explanation
		: {
			...explanation,
			owner: {
				vmId: owner.vmId, failureDomain: owner.failureDomain, callerOrigin: owner.callerOrigin, backendServer: owner.backendServer?.name,
			},
		};
}

function findKeyPlacement(service: ServiceConfiguration, key: string, routing: RoutingTable): KeyPlacement {
	const placement = routing.map.placements.find(candidate => candidate.service === service.name);
	const exceptionIndex = placement?.exceptions.findIndex(exception => exception.key === key) ?? -1;
	const isException = exceptionIndex !== -1;
	const partition = isException ? service.partitionCount + exceptionIndex : findPartition(key, service.partitionCount);
	const vmId = isException ? placement?.exceptions[exceptionIndex]?.owner : routing.map.vmIds[placement?.owners[partition] ?? -1];
	return {partition, isException, owner: routing.members.find(member => member.vmId === vmId)};
}

function findGrant(service: ServiceConfiguration, keyPlacement: KeyPlacement, state: OwnershipState): KeyExplanation['grant'] {
	const {ownership, now} = state;
	const grant = ownership.grants.get(formatPartitionId({service: service.name, partition: keyPlacement.partition}));
	return grant === undefined
		? undefined
		: {
			fence: formatFence(grant.fence),
			releasing: grant.releasing,
			leaseRemainingMs: Math.max(0, Math.round((ownership.leaseEnd?.monotonicMs ?? now.monotonicMs) - now.monotonicMs)),
		};
}

function listReasons(service: ServiceConfiguration, keyPlacement: KeyPlacement, state: OwnershipState): readonly string[] {
	const {configuration, routing} = state;
	const partitionReason = keyPlacement.isException
		? 'the key is hot and has an owner of its own'
		: `the key hashes to partition ${keyPlacement.partition} of ${service.partitionCount}`;
	const ownerReason = keyPlacement.owner === undefined
		? `map version ${routing.map.version} names no owner, because no backend server of the service can bear it`
		: `map version ${routing.map.version} gives it to ${keyPlacement.owner.vmId}`;
	const domainReasons = configuration.failureDomains.filter(failureDomain => failureDomain.out).map(({name}) => `the failure domain ${name} is out and owns nothing`);
	const stoppingReasons = configuration.stoppingVms.map(vmId => `the VM ${vmId} is stopping and owns nothing new`);
	const deadReasons = configuration.deadVms.map(vmId => `the VM ${vmId} is declared dead`);
	return [partitionReason, ownerReason, ...domainReasons, ...stoppingReasons, ...deadReasons];
}
