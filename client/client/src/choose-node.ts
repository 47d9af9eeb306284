import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {findPartition} from '@buckthornpoint/placement/partition-hash.js';
import type {RequestRule, ServiceConfiguration} from '@buckthornpoint/types/configuration.js';
import type {RoutingDocument} from '@buckthornpoint/types/routing-document.js';

/** What decides where a request goes. */
export type RoutingQuestion = {
	readonly requestId: string;
	readonly service: ServiceConfiguration;
	readonly key: string | undefined;
	readonly idempotent: boolean;
};

/** Returns the first rule that matches a request, or undefined: then it is not idempotent. */
export function findRule(service: ServiceConfiguration, method: string, path: string): RequestRule | undefined {
	return service.rules.find(rule => (rule.method === '*' || rule.method === method) && path.startsWith(rule.pathPrefix));
}

/**
 * Returns the caller origin of the node that a request goes to: the owner of its key; for undivided services the owner
 * of its id's partition, or the less busy of two drawn bearers when it is idempotent. Undefined when there is none.
 */
export function chooseNode(question: RoutingQuestion, document: RoutingDocument, measureBusy: (origin: string) => number, random: RandomSource): string | undefined {
	const {service, idempotent} = question;
	if (!service.divided && idempotent) {
		return chooseLessBusy(listBearers(document, service.name), measureBusy, random);
	}

	return findOrigin(document, findOwner(question, document));
}

function findOwner({service, key, requestId}: RoutingQuestion, {map}: RoutingDocument): string | undefined {
	const placement = map.placements.find(placed => placed.service === service.name);
	const routingKey = service.divided ? key ?? requestId : requestId;
	const exception = service.divided ? placement?.exceptions.find(excepted => excepted.key === routingKey) : undefined;
	const index = placement?.owners[findPartition(routingKey, service.partitionCount)] ?? -1;
	return exception?.owner ?? map.vmIds[index];
}

function listBearers(document: RoutingDocument, service: string): readonly string[] {
	const placement = document.map.placements.find(placed => placed.service === service);
	const owners = new Set(placement?.owners);
	return [...owners].flatMap(owner => findOrigin(document, document.map.vmIds[owner]) ?? []);
}

function findOrigin({members}: RoutingDocument, vmId: string | undefined): string | undefined {
	return members.find(member => member.vmId === vmId)?.callerOrigin;
}

function chooseLessBusy(origins: readonly string[], measureBusy: (origin: string) => number, random: RandomSource): string | undefined {
	const first = origins[random.drawBelow(origins.length)];
	const second = origins[random.drawBelow(origins.length)];
	if (first === undefined || second === undefined) {
		return first ?? second;
	}

	return measureBusy(second) < measureBusy(first) ? second : first;
}
