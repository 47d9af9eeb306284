import type {TestContext} from 'node:test';
import {SystemClock} from '@buckthornpoint/clock/system-clock.js';
import {createCallerHeaders} from '@buckthornpoint/fleet-stand-in/stand-in-messages.js';
import type {Body} from '@buckthornpoint/frames/body-blocks.js';
import {formatBackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import type {BackendGateOpts} from '../src/backend-gate-opts.js';
import {BackendGate} from '../src/backend-gate.js';
import type {Outcome} from '../src/outcome.js';

/** Opens a gate before a ready server at a port of the loopback address. It is closed with the test. */
export function openGate(t: TestContext, port: number, opts: Pick<BackendGateOpts, 'memory' | 'onInvalidAnswer'>): BackendGate {
	const gate = new BackendGate({
		...opts,
		host: '127.0.0.1',
		port,
		clock: new SystemClock(),
		isHeld: () => true,
		onServerEnded: () => undefined,
		onCold: () => undefined,
		onLimitChange: () => undefined,
		onLeaving: () => undefined,
	});
	gate.setBackend({
		id: 'i-1', key: formatBackendInstanceKey('i-1', 1), service: 'sklad', slots: 2, isDivided: false, coldPerS: undefined,
	});
	t.after(() => {
		gate.close();
	});
	return gate;
}

/** Sends a request that may not be repeated, with a deadline in `remainingMs`. */
export async function sendRequest(gate: BackendGate, {requestId, body, remainingMs}: {readonly requestId: string; readonly body: Body; readonly remainingMs: number}): Promise<Outcome> {
	return new Promise(resolve => {
		gate.admit({
			requestId, method: 'POST', path: '/x', headers: Object.entries(createCallerHeaders(requestId)).flat(), body, key: undefined, service: 'sklad', route: 'r',
			callerService: 'other', priority: 1, isIdempotent: false, mayWait: true, remainingMs, targetMs: remainingMs, lateMs: remainingMs,
		}, resolve);
	});
}
