import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import type {RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';

/** The properties of a request that decide which node it is sent to. */
export type RoutingCriteria = {
	readonly requestId: string;
	readonly service: ServiceConfiguration;
	readonly key: string | undefined;
	readonly idempotent: boolean;
};

/** Returns the first rule that matches a request, or undefined. A request without a rule counts as not idempotent. */
export function findRule(service: ServiceConfiguration, method: string, path: string): RequestRule | undefined {
	return service.rules.find(rule => (rule.method === '*' || rule.method === method) && path.startsWith(rule.pathPrefix));
}

/**
 * Returns the caller origin of the node that a request is sent to, or undefined if there is none. For a service
 * partitioned by key this is the owner of the key. For other services it is the owner of the partition of the request
 * id, or for an idempotent request the less loaded of two randomly chosen owners of partitions of the service.
 */
export function chooseNode(criteria: RoutingCriteria, document: RoutingDocument, countRunning: (origin: string) => number, random: RandomSource): string | undefined {
	const {service, idempotent} = criteria;
	if (!service.divided && idempotent) {
		return chooseLessLoaded(listOwnerOrigins(document, service.name), countRunning, random);
	}

	return findOrigin(document, findOwner(criteria, document));
}

function findOwner({service, key, requestId}: RoutingCriteria, {map}: RoutingDocument): string | undefined {
	const placement = map.placements.find(placed => placed.service === service.name);
	const routingKey = service.divided ? key ?? requestId : requestId;
	const exception = service.divided ? placement?.exceptions.find(excepted => excepted.key === routingKey) : undefined;
	const index = placement?.owners[findPartition(routingKey, service.partitionCount)] ?? -1;
	return exception?.owner ?? map.vmIds[index];
}

function listOwnerOrigins(document: RoutingDocument, service: string): readonly string[] {
	const placement = document.map.placements.find(placed => placed.service === service);
	const owners = new Set(placement?.owners);
	return [...owners].flatMap(owner => findOrigin(document, document.map.vmIds[owner]) ?? []);
}

function findOrigin({members}: RoutingDocument, vmId: string | undefined): string | undefined {
	return members.find(member => member.vmId === vmId)?.callerOrigin;
}

function chooseLessLoaded(origins: readonly string[], countRunning: (origin: string) => number, random: RandomSource): string | undefined {
	const first = origins[random.generateIntegerBelow(origins.length)];
	const second = origins[random.generateIntegerBelow(origins.length)];
	if (first === undefined || second === undefined) {
		return first ?? second;
	}

	return countRunning(second) < countRunning(first) ? second : first;
}
