import {BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {splitAddress} from '@buckthornpoint/peers/split-address.js';
import type {BackendWatch} from './backend-watch.js';
import type {MeshSettings} from './settings.js';

/** What the gate needs beside the watch. */
export type GateDependencies = {readonly clock: Clock; readonly log: Log; readonly memory?: BodyMemory};

/** Creates the gate to the local backend server and connects it with the watch. */
export function createGate(settings: MeshSettings, watch: BackendWatch, {clock, log, memory}: GateDependencies): BackendGate {
	const [host, port] = splitAddress(settings.backendServer);
	const gate = new BackendGate({
		host,
		port,
		clock,
		...memory !== undefined && {memory},
		isHeld: key => watch.isHeld(key),
		onServerEnded() {
			watch.recordServerGone();
		},
		onInvalidAnswer(requestId, problem) {
			log.write({event: 'server-answer-invalid', requestId, message: problem});
		},
		onCold(coldMs) {
			watch.recordCold(coldMs);
		},
		onLimitChange(limitPerS, sentPerS) {
			log.write({
				event: 'backend-limit', key: watch.current?.key ?? '', service: watch.getLocalService(), limitPerS, sentPerS: Math.round(sentPerS * 10) / 10,
			});
		},
		onLeaving(key, sinceMs) {
			watch.recordLeaving(key, sinceMs);
		},
	});
	watch.setGate(gate);
	return gate;
}
