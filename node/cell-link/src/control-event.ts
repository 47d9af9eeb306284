import type {RangeMap} from '@buckthornpoint/key-ranges/range-map.js';

/** Events that a control task emits, for the log. */
export type ControlEvent
	= | {readonly kind: 'took-over'; readonly epoch: number; readonly afterVm: string; readonly waitMs: number; readonly isAfterReturn: boolean}
		/** The controller went on after the store returned from an older copy, in which its row had `version`. `heldVersion` is that of its last acknowledged write. */
		| {readonly kind: 'continued'; readonly epoch: number; readonly era: number; readonly earlierEra: number; readonly version: number; readonly heldVersion: number; readonly maps: string}
		| {readonly kind: 'stepped-down'; readonly epoch: number; readonly reason: string}
		| {readonly kind: 'maps-written'; readonly epoch: number; readonly maps: string}
		/** After a failed write the rows were read: `version` is that of the controller's row, `heldVersion` the one of its last acknowledged write. */
		| {readonly kind: 'read-back'; readonly epoch: number; readonly version: number; readonly heldVersion: number; readonly maps: string}
		/** Shares of rate limits changed since the last event. `isComplete`: no share of an earlier controller is waited for. */
		| {readonly kind: 'account-shares'; readonly epoch: number; readonly members: number; readonly changes: number; readonly isComplete: boolean}
		| {readonly kind: 'moves-planned'; readonly epoch: number; readonly moves: string}
		| {readonly kind: 'store-failed'; readonly operation: string; readonly problem: string}
		| {readonly kind: 'store-regained'; readonly awayMs: number}
		| {readonly kind: 'vm-forgotten'; readonly vmId: string};

/** Formats the services and versions of maps for an event. */
export function formatMaps(maps: readonly RangeMap[]): string {
	return maps.map(({service, version}) => `${service} ${version}`).join(', ');
}
