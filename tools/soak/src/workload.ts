import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {
	encodeConfiguration, type StandInRoute, type StandInService,
} from '@buckthornpoint/fleet-stand-in/stand-in-configuration.js';

/** The services under test: one is partitioned by key, one is not. */
export const services: readonly StandInService[] = [
	{name: 'stock', isDivided: true, maxConnections: 60},
	{name: 'orders', isDivided: false, maxConnections: 60},
];

/** Deadline of requests, equal to the time limit of the routes. */
export const deadlineMs = 1200;

const routeOpts = {
	host: 'soak.example', timeoutSeconds: deadlineMs / 1000, targetSeconds: 0.4, maxAttempts: 2,
};

/** An idempotent and a non-idempotent route for each service. */
export const routes: readonly StandInRoute[] = services.flatMap(({name}): readonly StandInRoute[] => [
	{
		...routeOpts, name: `${name}-read`, prefix: `/${name}/read/`, service: name, isIdempotent: true,
	},
	{
		...routeOpts, name: `${name}-change`, prefix: `/${name}/change/`, service: name, isIdempotent: false,
	},
]);

/** A generated request of a caller. */
export type GeneratedRequest = {
	readonly id: string;
	readonly route: StandInRoute;
	readonly key: number | undefined;
	/** Whether the body is sent with chunked transfer encoding instead of a Content-Length. */
	readonly isChunked: boolean;
	/** Pause between the two halves of the body; 0 if it is sent at once. */
	readonly bodyPauseMs: number;
};

const idDigits = 16;
const hexadecimal = 16;
const keyCount = 65_536;
const hotKeyStart = 20_000;
const hotKeyCount = 200;
const hotShare = 0.2;
const slowBodyShare = 0.08;
const maxBodyPauseMs = 150;
const answerRepeatFactor = 60;

/** Encodes a version of the configuration. Each version has one more unused route than the one before. */
export function encodeSoakConfiguration(version: number): string {
	const unused = Array.from({length: version}, (_, index) => ({...routes[0]!, name: `unused-${index}`, prefix: `/unused/${index}/`}));
	return encodeConfiguration(version, [...routes, ...unused], services);
}

/** Generates the next request of a caller. */
export function generateRequest(random: RandomSource): GeneratedRequest {
	const route = routes[random.generateIntegerBelow(routes.length)]!;
	const isDivided = services.some(service => service.name === route.service && service.isDivided);
	return {
		id: Array.from({length: idDigits}, () => random.generateIntegerBelow(hexadecimal).toString(hexadecimal)).join(''),
		route,
		key: isDivided ? generateKey(random) : undefined,
		isChunked: random.generateFraction() < 0.5,
		bodyPauseMs: random.generateFraction() < slowBodyShare ? 1 + random.generateIntegerBelow(maxBodyPauseMs) : 0,
	};
}

/** Creates the body of a request; it is empty for idempotent routes. */
export function createRequestBody({id, route}: Pick<GeneratedRequest, 'id' | 'route'>): string {
	return route.isIdempotent ? '' : `change ${id} `.repeat(1 + Number.parseInt(id.slice(0, 1), hexadecimal));
}

/** Creates the body of the answer to a request, at most about 12 KB. */
export function createAnswerBody(requestId: string): string {
	return `answer to ${requestId} `.repeat(1 + (Number.parseInt(requestId.slice(-1), hexadecimal) * answerRepeatFactor / 2));
}

function generateKey(random: RandomSource): number {
	return random.generateFraction() < hotShare ? hotKeyStart + random.generateIntegerBelow(hotKeyCount) : random.generateIntegerBelow(keyCount);
}
