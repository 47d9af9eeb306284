import {type BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {PeriodicTimer} from '@buckthornpoint/clock/periodic-timer.js';
import {LeaseClock} from '@buckthornpoint/clock/lease-clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import type {ControlTask} from '@buckthornpoint/cell-link/control-task.js';
import {MemberTask} from '@buckthornpoint/cell-link/member-task.js';
import {RoutesFetch, RoutesSource} from '@buckthornpoint/cell-link/routes-fetch.js';
import {RoutesTask} from '@buckthornpoint/cell-link/routes-task.js';
import type {BodyMemory} from '@buckthornpoint/frames/body-blocks.js';
import type {RowStore} from '@buckthornpoint/fleet/row-store.js';
import {CallerServer} from '@buckthornpoint/ingress/caller-server.js';
import {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import {NodeStatisticsTable} from '@buckthornpoint/ingress/node-statistics.js';
import {RequestRouter} from '@buckthornpoint/ingress/request-router.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {splitAddress} from '@buckthornpoint/peers/split-address.js';
import type {PeerLinks} from '@buckthornpoint/peers/peer-links.js';
import type {PeerServer} from '@buckthornpoint/peers/peer-server.js';
import {handleAnnouncement} from './handle-announcement.js';
import {applyDocument, applyOperatorChange, type OperatorChangeOpts} from './apply-operator-change.js';
import {BackendWatch} from './backend-watch.js';
import {ControllerReplies} from './controller-replies.js';
import {createPeerLinks, createStore} from './create-connections.js';
import {createBodyMemory, deriveMaxConnections} from './create-body-memory.js';
import {createControlTask} from './create-control-task.js';
import {createEvidence} from './create-evidence.js';
import {createGate} from './create-gate.js';
import {createHeartbeat} from './create-heartbeat.js';
import {createNodeMetrics} from './create-node-metrics.js';
import {createPeerServer} from './create-peer-server.js';
import {createReadinessResponse} from './readiness-response.js';
import {LeaveRecorder} from './leave-recorder.js';
import {logRequest} from './log-decisions.js';
import {NodeAccountLimits} from './node-account-limits.js';
import type {NodeMetrics} from './node-metrics.js';
import {runPlannedStop} from './planned-stop.js';
import {SimpleHttpServer} from './simple-http-server.js';
import type {MeshSettings} from './settings.js';
import {deriveRetryBudget, deriveTimeouts, tickIntervalMs} from './timeouts.js';

/** Dependencies of a `MeshNode`. */
export type MeshNodeOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	/** Unique for each instance of the node process. */
	readonly incarnation: string;
};

/** The node process on the VM of a backend server. It creates and connects all servers, links and tasks. */
export class MeshNode {
	readonly #settings: MeshSettings;
	readonly #opts: MeshNodeOpts;
	readonly #timeouts: ReturnType<typeof deriveTimeouts>;
	readonly #memory: BodyMemory;
	readonly #view: FleetView;
	readonly #store: RowStore;
	readonly #leaves: LeaveRecorder;
	readonly #leaseClock: LeaseClock;
	readonly #accounts: NodeAccountLimits;
	readonly #watch: BackendWatch;
	readonly #gate: BackendGate;
	readonly #links: PeerLinks;
	readonly #peers: PeerServer;
	readonly #router: RequestRouter;
	readonly #callers: CallerServer;
	readonly #readiness: SimpleHttpServer;
	readonly #announcements: SimpleHttpServer;
	readonly #control: ControlTask;
	readonly #member: MemberTask;
	readonly #routes: RoutesTask;
	readonly #controllerReplies: ControllerReplies;
	readonly #routesFetch: RoutesFetch;
	readonly #routesSource = new RoutesSource();
	readonly #metrics: NodeMetrics;
	readonly #metricsServer: SimpleHttpServer;
	#timer: PeriodicTimer | undefined;
	#isStopping = false;
	/** Whether the node followed a controller at the last tick. */
	#wasFollowing = false;
	/** Set once a planned stop closes the connections. From then on the controller can no longer be notified of a leave call. */
	#isEnding = false;
	/** Time on the monotonic clock by which requests of other nodes must end. A planned stop sets it. */
	#peerRequestEndMs = Number.POSITIVE_INFINITY;

	constructor(settings: MeshSettings, opts: MeshNodeOpts) {
		this.#settings = settings;
		this.#opts = opts;
		this.#timeouts = deriveTimeouts(settings);
		this.#view = new FleetView({mayShareCapacity: settings.sharesCapacity ?? false});
		this.#memory = createBodyMemory(settings, opts.clock);
		this.#store = createStore(settings.store, opts, () => {
			this.#routes.refresh();
			this.#leaves.writeAgain();
		});
		this.#leaves = new LeaveRecorder({
			...opts, vmId: settings.vmId, store: this.#store, isLeading: () => this.#control.isLeading,
		});
		this.#leaseClock = new LeaseClock(opts.clock);
		const requestHeartbeat = (): void => this.#member.requestHeartbeat(); // eslint-disable-line @typescript-eslint/no-confusing-void-expression
		this.#accounts = new NodeAccountLimits({...opts, leaseClock: this.#leaseClock, requestHeartbeat});
		this.#watch = new BackendWatch({
			...opts, settings, timeouts: this.#timeouts, leaseClock: this.#leaseClock, view: this.#view, onChange: requestHeartbeat,
			createEvidence: onProved => createEvidence(settings, {...opts, view: this.#view, onProved}),
		});
		this.#gate = createGate(settings, this.#watch, {clock: opts.clock, log: opts.log, memory: this.#memory});
		this.#links = createPeerLinks(opts.incarnation, {...opts, memory: this.#memory});
		this.#peers = createPeerServer({
			...opts, gate: this.#gate, memory: this.#memory, routes: this.#routesSource, view: this.#view, getMember: () => this.#member, getRequestEndMs: () => this.#peerRequestEndMs,
		});
		this.#router = new RequestRouter({
			ownAddress: settings.listen.peers,
			failureDomain: settings.failureDomain,
			view: this.#view,
			gate: this.#gate,
			links: this.#links,
			statistics: new NodeStatisticsTable(),
			leavingSendMs: this.#timeouts.leavingSendMs,
			clock: opts.clock,
			random: opts.random,
			retryBudget: deriveRetryBudget(settings, () => this.#view.listAddresses().size),
			secondTries: {
				maxShare: settings.secondTries?.maxShare ?? 0,
				onEvent: (service, event) => {
					this.#metrics.recordSecondTry(service, event);
				},
			},
		});
		const reportProblem = (message: string): void => {
			opts.log.write({event: 'internal-error', message});
		};

		this.#callers = new CallerServer({
			view: this.#view,
			router: this.#router,
			clock: opts.clock,
			memory: this.#memory,
			maxConnections: deriveMaxConnections(settings),
			accountLimits: this.#accounts,
			getCallerService: () => this.#watch.getLocalService(),
			onAcceptError: ({message}) => opts.log.write({event: 'accept-failed', message}), // eslint-disable-line @typescript-eslint/no-confusing-void-expression
			onProblem: reportProblem,
			onFinished: finished => {
				this.#metrics.recordFinished(finished);
				logRequest(opts.log, finished);
			},
		});
		this.#readiness = new SimpleHttpServer(call => createReadinessResponse(call, !this.#isStopping && this.#callers.getPort() > 0 && this.#view.routeTable !== undefined), reportProblem);
		this.#announcements = new SimpleHttpServer(async call => handleAnnouncement(call, {
			watch: this.#watch, log: opts.log, clock: opts.clock, recordLeave: async leave => this.#leaves.record(leave), isEnding: () => this.#isEnding,
		}), reportProblem);
		this.#control = createControlTask({
			...opts, settings, timeouts: this.#timeouts, store: this.#store, view: this.#view, watch: this.#watch, links: this.#links,
			getRoutes: () => ({task: this.#routes, fetch: this.#routesFetch}),
		});
		this.#member = this.#createMemberTask();
		this.#metrics = createNodeMetrics({
			settings, gate: this.#gate, memory: this.#memory, callers: this.#callers, control: this.#control, view: this.#view, watch: this.#watch, store: this.#store, accounts: this.#accounts,
		});
		this.#metricsServer = new SimpleHttpServer(async () => this.#metrics.createResponse(), reportProblem);
		const operatorChanges: OperatorChangeOpts = {
			view: this.#view,
			log: opts.log,
			onApplied: () => {
				this.#accounts.setAccounts(this.#view.routeTable?.accounts ?? []);
				this.#watch.refresh();
			},
		};
		this.#routes = new RoutesTask({
			store: this.#store,
			clock: opts.clock,
			random: opts.random,
			isFollowing: () => this.#member.isFollowing,
			waitForLaterRoutes: async () => {
				await this.#member.waitForReply();
				await this.#routesFetch.waitUntilDone();
			},
			listEvacuated: () => this.#view.getEvacuation().domains,
			onChange(change) {
				applyOperatorChange(change, operatorChanges);
			},
			onProblem: reportProblem,
		});
		this.#routesFetch = new RoutesFetch({
			links: this.#links,
			clock: opts.clock,
			random: opts.random,
			listPeers: () => this.#view.listPeers(settings.listen.peers),
			getVersion: () => this.#view.routeTable?.version ?? 0,
			apply(document) {
				applyDocument(document, operatorChanges);
			},
			onProblem(message) {
				opts.log.write({event: 'operator-row-invalid', message});
			},
		});
		this.#controllerReplies = new ControllerReplies({
			...operatorChanges, watch: this.#watch, accounts: this.#accounts, links: this.#links, routes: this.#routes, fetch: this.#routesFetch,
		});
	}

	/** Opens the servers and starts the tasks. */
	async start(): Promise<void> {
		const {listen} = this.#settings;
		await Promise.all([
			this.#callers.listen(...splitAddress(listen.callers)),
			this.#peers.listen(...splitAddress(listen.peers)),
			this.#readiness.listen(listen.readiness),
			this.#announcements.listen(listen.announcements),
			...this.#settings.metricsPort === 0 ? [] : [this.#metricsServer.listen(`${splitAddress(listen.readiness)[0]}:${this.#settings.metricsPort}`)],
		]);
		void this.#routes.run();
		this.#member.start();
		this.#timer = new PeriodicTimer(this.#opts.clock, tickIntervalMs, () => {
			this.#advance();
		});
		this.#advance();
	}

	/** Stops as planned within the grace time: accepts no new requests, answers the open ones and releases the controller lease. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		this.#router.startStop();
		this.#member.requestHeartbeat();
		await runPlannedStop({
			clock: this.#opts.clock,
			callers: this.#callers,
			gate: this.#gate,
			peers: this.#peers,
			graceMs: this.#timeouts.graceMs,
			release: async () => this.#control.release(),
			refusePeerRequestsBeyond: endMs => {
				this.#peerRequestEndMs = endMs;
			},
			onStep: step => {
				this.#isEnding ||= step.step === 'ending-connections';
				this.#opts.log.write({event: 'stop-step', ...step});
			},
		});
	}

	/** Begins again what an error that was caught nowhere may have stopped: a read from the store whose answer was lost waits for its time-out. */
	refreshReads(): void {
		this.#routes.refresh();
		this.#member.requestHeartbeat();
	}

	close(): void {
		this.#router.stop();
		const servers = [this.#peers, this.#callers, this.#readiness, this.#announcements, this.#metricsServer];
		for (const part of [this.#timer, this.#leaves, this.#watch, this.#routes, this.#routesFetch, this.#member, this.#control, this.#gate, this.#links, ...servers]) {
			part?.close();
		}

		void this.#store.close();
	}

	#createMemberTask(): MemberTask {
		return new MemberTask({
			address: this.#settings.listen.peers,
			control: this.#control,
			links: this.#links,
			clock: this.#opts.clock,
			leaseClock: this.#leaseClock,
			random: this.#opts.random,
			createHeartbeat: () => createHeartbeat({
				settings: this.#settings, view: this.#view, watch: this.#watch, accounts: this.#accounts, incarnation: this.#opts.incarnation, isStopping: this.#isStopping,
			}),
			applyReply: (reply, sentMs, backend) => {
				this.#controllerReplies.apply(reply, sentMs, backend);
				if (!this.#control.isLeading) {
					this.#leaves.recordConfirmed(reply.left ?? []);
				}
			},
			onEvent: event => {
				this.#opts.log.write({event: 'control-event', kind: event.kind, detail: JSON.stringify(event)});
			},
			getEpoch: () => this.#watch.member.epoch,
			countNodes: () => this.#view.listAddresses().size,
		});
	}

	#advance(): void {
		this.#watch.refresh();
		this.#accounts.refresh();
		if (this.#wasFollowing && !this.#member.isFollowing) {
			this.#routes.refresh();
		}

		this.#wasFollowing = this.#member.isFollowing;
		this.#gate.advance();
	}
}
