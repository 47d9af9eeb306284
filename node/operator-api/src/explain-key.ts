import {createOperatorFailure, type KeyExplanation, type OperatorFailure} from '@buckthornpoint/configuration/operator-protocol.js';
import type {Moment} from '@buckthornpoint/clock/clock.js';
import type {OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import type {Configuration, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import {formatFence, formatPartitionId} from '@buckthornpoint/types/identity.js';
import type {Member, RoutingTable} from '@buckthornpoint/types/membership.js';
import {err, ok, type Result} from 'neverthrow';

/** What a node knows that bears on the owner of a key. */
export type OwnershipKnowledge = {
	readonly configuration: Configuration;
	readonly routing: RoutingTable;
	readonly ownership: OwnershipView;
	readonly now: Moment;
};

/** Says where a key lives and why. */
export function findKeyExplanation(service: string, key: string, knowledge: OwnershipKnowledge): Result<KeyExplanation, OperatorFailure> {
	const known = knowledge.configuration.services.find(({name}) => name === service);
	return known === undefined
		? err(createOperatorFailure('ERR_SERVICE_UNKNOWN', `no service is called "${service}"; known are ${knowledge.configuration.services.map(({name}) => name).join(', ') || 'none'}`))
		: ok(createExplanation(known, key, knowledge));
}

type Placed = {
	readonly partition: number;
	readonly isException: boolean;
	readonly owner: Member | undefined;
};

function createExplanation(service: ServiceConfiguration, key: string, knowledge: OwnershipKnowledge): KeyExplanation {
	const placed = findPlaced(service, key, knowledge.routing);
	const {owner} = placed;
	const explanation = {
		service: service.name,
		key,
		partition: placed.partition,
		partitionCount: service.partitionCount,
		isException: placed.isException,
		mapVersion: knowledge.routing.map.version,
		grant: findGrant(service, placed, knowledge),
		reasons: listReasons(service, placed, knowledge),
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

function findPlaced(service: ServiceConfiguration, key: string, routing: RoutingTable): Placed {
	const placement = routing.map.placements.find(candidate => candidate.service === service.name);
	const exceptionIndex = placement?.exceptions.findIndex(exception => exception.key === key) ?? -1;
	const isException = exceptionIndex !== -1;
	const partition = isException ? service.partitionCount + exceptionIndex : findPartition(key, service.partitionCount);
	const vmId = isException ? placement?.exceptions[exceptionIndex]?.owner : routing.map.vmIds[placement?.owners[partition] ?? -1];
	return {partition, isException, owner: routing.members.find(member => member.vmId === vmId)};
}

function findGrant(service: ServiceConfiguration, placed: Placed, knowledge: OwnershipKnowledge): KeyExplanation['grant'] {
	const {ownership, now} = knowledge;
	const grant = ownership.grants.get(formatPartitionId({service: service.name, partition: placed.partition}));
	return grant === undefined
		? undefined
		: {
			fence: formatFence(grant.fence),
			releasing: grant.releasing,
			leaseRemainingMs: Math.max(0, Math.round((ownership.leaseEnd?.monotonicMs ?? now.monotonicMs) - now.monotonicMs)),
		};
}

function listReasons(service: ServiceConfiguration, placed: Placed, knowledge: OwnershipKnowledge): readonly string[] {
	const {configuration, routing} = knowledge;
	const where = placed.isException
		? 'the key is hot and has an owner of its own'
		: `the key hashes to partition ${placed.partition} of ${service.partitionCount}`;
	const who = placed.owner === undefined
		? `map version ${routing.map.version} names no owner, because no backend server of the service can bear it`
		: `map version ${routing.map.version} gives it to ${placed.owner.vmId}`;
	const out = configuration.failureDomains.filter(failureDomain => failureDomain.out).map(({name}) => `the failure domain ${name} is out and owns nothing`);
	const stopping = configuration.stoppingVms.map(vmId => `the VM ${vmId} is stopping and owns nothing new`);
	const dead = configuration.deadVms.map(vmId => `the VM ${vmId} is declared dead`);
	return [where, who, ...out, ...stopping, ...dead];
}
