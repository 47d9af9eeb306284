import {addMilliseconds, type Timestamp} from '@buckthornpoint/clock/clock.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {countExtensionQuorum, measureRemaining, deriveLowerBound} from './bounds.js';
import {formatNodeKey, type ControllerState} from './cell-state.js';
import {reportEvent, type StepScope} from './step-scope.js';

/**
 * Returns for how many milliseconds the controller may still act, by its store lease or by the promises of a majority
 * of the members.
 */
export function measureAuthority(scope: StepScope, controller: ControllerState): number {
	const {now} = scope.context;
	const byStoreMs = measureRemaining(controller.storeAuthorityEnd, now);
	return Math.max(byStoreMs, measurePromisedAuthority(scope, controller));
}

/** Records whether the controller's authority rests on member promises alone, and reports the change to that state. */
export function updateExtension(scope: StepScope, controller: ControllerState): void {
	const isExtended = measureRemaining(controller.storeAuthorityEnd, scope.context.now) === 0
		&& measurePromisedAuthority(scope, controller) > 0;
	if (isExtended && !controller.extended) {
		reportEvent(scope, {name: 'authority-extended-without-store', epoch: controller.epoch});
	}

	controller.extended = isExtended;
}

function measurePromisedAuthority(scope: StepScope, controller: ControllerState): number {
	const {timing} = scope.state;
	const {now} = scope.context;
	const extensionEnd = addMilliseconds(controller.renewedAt, deriveLowerBound(timing.maxExtensionMs, timing));
	if (controller.phase !== 'active') {
		return 0;
	}

	const memberships = [
		controller.rows.cell.value?.members ?? [],
		...controller.pending.flatMap(({write}) => write.cell === undefined ? [] : [write.cell.members]),
	];
	const promisedMs = memberships.map(members => measureQuorumPromise(controller, members, now));
	return Math.min(measureRemaining(extensionEnd, now), ...promisedMs);
}

/** Returns for how many milliseconds at least an extension quorum of the members has promised the epoch. */
function measureQuorumPromise(controller: ControllerState, members: readonly Member[], now: Timestamp): number {
	const remaining = members
		.map(member => measureRemaining(controller.sessions.get(formatNodeKey(member))?.promisedUntil, now))
		.toSorted((left, right) => right - left);
	return remaining[countExtensionQuorum(members.length) - 1] ?? 0;
}
