import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {ManualClock} from '@buckthornpoint/clock/manual-clock.js';
import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import {SilentMetrics} from '@buckthornpoint/metrics/metrics.js';
import type {Grant, OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import {emptyConfiguration, type Configuration} from '@buckthornpoint/types/configuration.js';
import type {PartitionId} from '@buckthornpoint/types/identity.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import type {RoutedRequest} from '@buckthornpoint/types/requests.js';
import {Guard, type GuardOpts} from '../src/guard.js';

/** Reaction of a fake backend server to a request. */
export type Behaviour = 'answer' | 'refuse' | 'lose-answer' | 'hold';

/** A backend server on a loopback socket that counts how often each request ran. */
export class FakeBackend {
	readonly runs = new Map<string, number>();
	origin = '';
	chooseBehaviour: (requestId: string) => Behaviour;

	readonly #held: Array<() => void> = [];
	readonly #server: Server;

	constructor() {
		this.chooseBehaviour = () => 'answer';
		this.#server = createServer((request, response) => {
			this.#handle(request, response);
		});
	}

	async open(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		this.origin = `http://127.0.0.1:${(this.#server.address() as AddressInfo).port}`; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
	}

	/** Answers all held requests. */
	release(): void {
		for (const answer of this.#held.splice(0)) {
			answer();
		}
	}

	countHeld(): number {
		return this.#held.length;
	}

	async close(): Promise<void> {
		await new Promise<void>(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	#handle(request: IncomingMessage, response: ServerResponse): void {
		const requestId = String(request.headers['buckthornpoint-request-id']);
		const behaviour = this.chooseBehaviour(requestId);
		if (behaviour === 'refuse') {
			response.writeHead(503, {'buckthornpoint-refused': 'overloaded'}).end();
			return;
		}

		this.runs.set(requestId, (this.runs.get(requestId) ?? 0) + 1);
		const send = (): void => {
			response.writeHead(200, {'buckthornpoint-request-id': requestId}).end('done');
		};

		if (behaviour === 'lose-answer') {
			request.socket.destroy();
		} else if (behaviour === 'hold') {
			this.#held.push(send);
		} else {
			send();
		}
	}
}

/** A guard over a fake backend server, with its inputs and the partitions that it reported as drained. */
export type GuardBench = {
	readonly clock: ManualClock;
	readonly guard: Guard;
	readonly ownership: ObservableValue<OwnershipView>;
	readonly backendServer: ObservableValue<BackendServer | undefined>;
	readonly configuration: ObservableValue<Configuration>;
	readonly drained: readonly PartitionId[];
};

/** Settings of a guard that differ from the defaults. */
export type BenchOpts = {
	readonly incarnation: string;
	readonly grant?: Partial<Grant>;
	readonly queryOutcome?: GuardOpts['queryOutcome'];
	readonly clock?: ManualClock;
};

/** The partition owned by the guards in the tests. */
export const partition: PartitionId = {service: 'rezervacie', partition: 3};

/** Creates a guard whose lease on the partition lasts a minute. */
export function createBench(backend: FakeBackend, opts: BenchOpts): GuardBench {
	const clock = opts.clock ?? new ManualClock();
	const now = clock.readTimestamp();
	const ownership = new ObservableValue<OwnershipView>({
		node: {vmId: opts.incarnation, incarnation: opts.incarnation},
		leaseEnd: {monotonicMs: now.monotonicMs + 60_000, wallMs: now.wallMs + 60_000},
		grants: new Map([['rezervacie/3', {
			partition, fence: {epoch: 1, counter: 1}, ownedSince: now, predecessor: undefined, releasing: false, ...opts.grant,
		}]]),
	});
	const backendServer = new ObservableValue<BackendServer | undefined>({
		name: 'r', service: 'rezervacie', origin: backend.origin, slots: 4, checksFence: false, incarnation: 'b1', leaving: false,
	});
	const configuration = new ObservableValue<Configuration>({
		...emptyConfiguration,
		services: [{
			name: 'rezervacie', tenant: 't', divided: true, partitionCount: 16, maxConnections: 110, coldConcurrency: 4, rules: [],
		}],
	});
	const drained: PartitionId[] = [];
	const guard = new Guard({
		clock,
		random: new SeededRandom(1),
		metrics: new SilentMetrics(),
		ownership,
		backendServer,
		configuration,
		queryOutcome: opts.queryOutcome ?? (async () => ({state: 'unknown'})),
		onDrained(released) {
			drained.push(released);
		},
	});
	return {
		clock, guard, ownership, backendServer, configuration, drained,
	};
}

/** Creates a UUIDv7 request id issued at `wallMs`. */
export function createId(wallMs: number, serial: number): string {
	const time = wallMs.toString(16).padStart(12, '0');
	return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${serial.toString(16).padStart(12, '0')}`;
}

/** Creates a non-idempotent request addressed to a node instance. */
export function createReservation(requestId: string, incarnation: string, opts: Partial<RoutedRequest> = {}): RoutedRequest {
	return {
		...partition,
		requestId,
		attempt: 1,
		isProvedNew: false,
		key: 'lot-1',
		tenant: 't',
		idempotent: false,
		requestClass: 'transactional',
		remainingMs: 5000,
		method: 'POST',
		path: '/lots',
		headers: [],
		body: new Uint8Array(),
		target: {vmId: incarnation, incarnation},
		...opts,
	};
}
