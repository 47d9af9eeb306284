/** Events that a control task emits, for the log. */
export type ControlEvent
	= | {readonly kind: 'took-over'; readonly epoch: number; readonly afterVm: string; readonly waitMs: number}
		| {readonly kind: 'stepped-down'; readonly epoch: number; readonly reason: string}
		| {readonly kind: 'maps-written'; readonly epoch: number; readonly maps: string}
		/** After a failed write the rows were read: `version` is that of the controller's row, `heldVersion` the one of its last acknowledged write. */
		| {readonly kind: 'read-back'; readonly epoch: number; readonly version: number; readonly heldVersion: number; readonly maps: string}
		| {readonly kind: 'moves-planned'; readonly epoch: number; readonly moves: string}
		| {readonly kind: 'store-failed'; readonly operation: string; readonly problem: string}
		| {readonly kind: 'store-regained'; readonly awayMs: number}
		| {readonly kind: 'vm-forgotten'; readonly vmId: string};
