import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {v7 as createUuid} from 'uuid';
import type {Call} from './call.js';
import type {DeploymentPlan, ServicePlan} from './deployments.js';

const orderFraction = 0.3;
const keyCount = 500;
const maxPaddingBytes = 200;
const deadlineMs = 3000;

/** Creates a call to a service of the deployment, picked at random: an idempotent lookup, or an order that must not be executed twice. */
export function createCall(plan: DeploymentPlan, random: RandomSource): Call {
	const service = plan.services[random.generateIntegerBelow(plan.services.length)];
	if (service === undefined) {
		throw new Error(`${plan.tenant} has no services`);
	}

	return createServiceCall(service, random);
}

/** Creates a call with a random key to the service. */
export function createServiceCall(service: ServicePlan, random: RandomSource): Call {
	const isOrder = mustCreateOrder(service, random);
	const requestId = createUuid();
	return {
		requestId,
		service: service.name,
		key: `key-${random.generateIntegerBelow(keyCount)}`,
		method: isOrder ? 'POST' : 'GET',
		path: isOrder ? service.orderPath ?? '/' : `${service.lookupPath ?? ''}/${requestId}`,
		body: isOrder ? `${service.name} ${requestId} ${'x'.repeat(random.generateIntegerBelow(maxPaddingBytes))}` : '',
		idempotent: !isOrder,
		deadlineMs,
	};
}

function mustCreateOrder({lookupPath, orderPath}: ServicePlan, random: RandomSource): boolean {
	return lookupPath === undefined || (orderPath !== undefined && random.generateFraction() < orderFraction);
}
