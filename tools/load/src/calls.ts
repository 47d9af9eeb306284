import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {v7 as createUuid} from 'uuid';
import type {Call} from './call.js';
import type {DeploymentPlan, ServicePlan} from './deployments.js';

const orderFraction = 0.3;
const keysInUse = 500;
const maxPadding = 200;
const deadlineMs = 3000;

/** Creates a call to a drawn service of the deployment: a lookup, or an order that must not run twice. */
export function createCall(plan: DeploymentPlan, random: RandomSource): Call {
	const service = plan.services[random.drawBelow(plan.services.length)];
	if (service === undefined) {
		throw new Error(`${plan.tenant} has no services`);
	}

	return createServiceCall(service, random);
}

/** Creates a call to the service. */
export function createServiceCall(service: ServicePlan, random: RandomSource): Call {
	const isOrder = mustOrder(service, random);
	const requestId = createUuid();
	return {
		requestId,
		service: service.name,
		key: `key-${random.drawBelow(keysInUse)}`,
		method: isOrder ? 'POST' : 'GET',
		path: isOrder ? service.orderPath ?? '/' : `${service.lookupPath ?? ''}/${requestId}`,
		body: isOrder ? `${service.name} ${requestId} ${'x'.repeat(random.drawBelow(maxPadding))}` : '',
		idempotent: !isOrder,
		deadlineMs,
	};
}

function mustOrder({lookupPath, orderPath}: ServicePlan, random: RandomSource): boolean {
	return lookupPath === undefined || (orderPath !== undefined && random.drawFraction() < orderFraction);
}
