import type {Clock} from '@buckthornpoint/clock/clock.js';
import {checkGrant, type OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import type {Published} from '@buckthornpoint/tasks/published.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {createNotRun, type RequestResult, type RoutedRequest} from '@buckthornpoint/types/requests.js';
import {BackendClient} from './backend-client.js';

const maxConnections = 100;

/** What a guard works with. */
export type GuardOpts = {
	readonly clock: Clock;
	/** What the node may do; published by the cell task. */
	readonly ownership: Published<OwnershipView>;
	/** The backend server beside the node, when one has announced itself. */
	readonly backendServer: Published<BackendServer | undefined>;
};

/** The only way to the backend server beside the node. */
export class Guard {
	readonly #opts: GuardOpts;
	readonly #unsubscribe: () => void;
	#client: BackendClient | undefined;

	constructor(opts: GuardOpts) {
		this.#opts = opts;
		this.#unsubscribe = opts.backendServer.subscribe(backendServer => {
			this.#replaceClient(backendServer);
		});
	}

	/** Hands a request to the backend server if the node may do so now. */
	async handle(routed: RoutedRequest, signal: AbortSignal): Promise<RequestResult> {
		const view = this.#opts.ownership.read();
		if (routed.target.incarnation !== view.node.incarnation) {
			return createNotRun(routed.requestId, 'incarnation-mismatch', 'the attempt names another run of this node');
		}

		const grant = checkGrant(view, {service: routed.service, partition: routed.partition}, this.#opts.clock.readMoment());
		if (grant.isErr()) {
			return createNotRun(routed.requestId, 'lease-not-held', `the node may not serve the partition: ${grant.error.reason}`);
		}

		if (this.#client === undefined) {
			return createNotRun(routed.requestId, 'backend-server-unreachable', 'no backend server has announced itself');
		}

		const bound = AbortSignal.any([signal, AbortSignal.timeout(routed.remainingMs)]);
		return this.#client.send(routed, grant.value.grant.fence, bound);
	}

	/** Closes the connections to the backend server. */
	async close(): Promise<void> {
		this.#unsubscribe();
		await this.#client?.close();
	}

	#replaceClient(backendServer: BackendServer | undefined): void {
		const old = this.#client;
		this.#client = backendServer === undefined ? undefined : new BackendClient(backendServer, {maxConnections});
		old?.close().catch(() => {
			// The connections are gone either way.
		});
	}
}
