import {addMilliseconds, type Moment} from '@buckthornpoint/clock/clock.js';
import type {Member} from '@buckthornpoint/types/membership.js';
import {countExtensionQuorum, measureRemaining, measureShortest} from './bounds.js';
import {formatNode, type ControllerState} from './cell-state.js';
import {reportEvent, type StepScope} from './step-scope.js';

/** Returns how long the controller may act still, in milliseconds: by the store, or by promises of a majority. */
export function measureAuthority(scope: StepScope, controller: ControllerState): number {
	const {now} = scope.context;
	const byStoreMs = measureRemaining(controller.storeAuthorityEnd, now);
	return Math.max(byStoreMs, measurePromised(scope, controller));
}

/** Reports when the controller begins to rest on promises alone. */
export function noteExtension(scope: StepScope, controller: ControllerState): void {
	const isExtended = measureRemaining(controller.storeAuthorityEnd, scope.context.now) === 0
		&& measurePromised(scope, controller) > 0;
	if (isExtended && !controller.extended) {
		reportEvent(scope, {name: 'authority-extended-without-store', epoch: controller.epoch});
	}

	controller.extended = isExtended;
}

function measurePromised(scope: StepScope, controller: ControllerState): number {
	const {timing} = scope.state;
	const {now} = scope.context;
	const extensionEnd = addMilliseconds(controller.renewedAt, measureShortest(timing.maxExtensionMs, timing));
	if (controller.phase !== 'active') {
		return 0;
	}

	const memberships = [
		controller.rows.cell.value?.members ?? [],
		...controller.pending.flatMap(({write}) => write.cell === undefined ? [] : [write.cell.members]),
	];
	const promisedMs = memberships.map(members => measureMajority(controller, members, now));
	return Math.min(measureRemaining(extensionEnd, now), ...promisedMs);
}

/** Returns how long enough of the members have promised for, in milliseconds. */
function measureMajority(controller: ControllerState, members: readonly Member[], now: Moment): number {
	const remaining = members
		.map(member => measureRemaining(controller.sessions.get(formatNode(member))?.promisedUntil, now))
		.toSorted((left, right) => right - left);
	return remaining[countExtensionQuorum(members.length) - 1] ?? 0;
}
