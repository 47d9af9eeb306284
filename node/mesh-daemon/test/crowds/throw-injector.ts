import {EventEmitter} from 'node:events';
import {syncBuiltinESMExports} from 'node:module';
import process from 'node:process';
import timers from 'node:timers';

// Loaded into a node process before its own code. Throws once in the callback that the code passes to a timer or registers for an event
// at the first place whose name begins with THROW_SITE, after THROW_AFTER_MS. Writes each place that it meets to standard error.

type Callback = (...args: unknown[]) => unknown;

const {THROW_SITE: targetSite = '', THROW_AFTER_MS: afterMs = '0'} = process.env;
const ownFilePattern = /\/(?<place>(?:core|wire|platform|node)\/[^\/]+\/lib\/src\/[^:]+:\d+):\d+/v;
const startMs = performance.now();
Error.stackTraceLimit = 20;
const knownSites = new Set<string>();
let hasThrown = false;

/** Finds the place of our code that passes on the callback: the first one on the stack that isn't part of the clock. */
function findSite(mustBeDirect: boolean): string | undefined {
	// Sockets register listeners through methods of their own.
	const frames = (new Error('stack').stack ?? '').split('\n').slice(4).filter(frame => !/node:internal\/streams|socketListenerWrap/v.test(frame));
	const candidates = mustBeDirect ? frames.slice(0, 1) : frames;
	const places = candidates.flatMap(frame => ownFilePattern.exec(frame)?.groups?.place ?? []);
	return places.find(place => !place.startsWith('core/clock/'));
}

function createThrowing(kind: string, callback: Callback, mustBeDirect: boolean): Callback {
	const place = findSite(mustBeDirect);
	if (place === undefined || typeof callback !== 'function') {
		return callback;
	}

	const site = `${kind} ${place}`;
	const wrapped = function (this: unknown, ...args: unknown[]): unknown {
		if (!knownSites.has(site)) {
			knownSites.add(site);
			process.stderr.write(`site: ${site}\n`);
		}

		if (targetSite !== '' && site.startsWith(targetSite) && !hasThrown && performance.now() - startMs >= Number(afterMs)) {
			hasThrown = true;
			process.stderr.write('injected\n');
			throw new Error(`injected: ${site}`);
		}

		return callback.apply(this, args);
	};

	return Object.assign(wrapped, {listener: callback});
}

for (const name of ['setTimeout', 'setImmediate'] as const) {
	const original = timers[name] as unknown as Callback; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	const replaced = (callback: Callback, ...rest: unknown[]): unknown => original(createThrowing(name, callback, false), ...rest);
	Object.assign(timers, {[name]: replaced});
	Object.assign(globalThis, {[name]: replaced});
}

const {prototype} = EventEmitter;
for (const name of ['on', 'once', 'addListener'] as const) {
	const original = prototype[name] as unknown as Callback; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	Object.assign(prototype, {
		[name](this: unknown, event: string | symbol, callback: Callback): unknown {
			// The HTTP and TCP servers register the handlers that are passed to their constructors themselves.
			const isServerHandler = event === 'request' || event === 'connection';
			return original.call(this, event, createThrowing(String(event), callback, !isServerHandler));
		},
	});
}

syncBuiltinESMExports();
