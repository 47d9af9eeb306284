import {type BackendGate} from '@buckthornpoint/backend-link/backend-gate.js';
import type {Clock, Timer} from '@buckthornpoint/clock/clock.js';
import {LapseClock} from '@buckthornpoint/clock/lapse-clock.js';
import type {RandomSource} from '@buckthornpoint/clock/random.js';
import {ControlTask} from '@buckthornpoint/cell-link/control-task.js';
import {MemberTask, type ControlCall, type NodeNotice} from '@buckthornpoint/cell-link/member-task.js';
import {RoutesFetch, RoutesSource, type RoutesCall} from '@buckthornpoint/cell-link/routes-fetch.js';
import {RoutesTask} from '@buckthornpoint/cell-link/routes-task.js';
import {RowStore} from '@buckthornpoint/fleet/row-store.js';
import {CallerServer} from '@buckthornpoint/ingress/caller-server.js';
import {FleetView} from '@buckthornpoint/ingress/fleet-view.js';
import {NodeStatisticsTable} from '@buckthornpoint/ingress/node-statistics.js';
import {RequestRouter} from '@buckthornpoint/ingress/request-router.js';
import type {Log} from '@buckthornpoint/log/log.js';
import {splitAddress} from '@buckthornpoint/peers/split-address.js';
import {PeerLinks} from '@buckthornpoint/peers/peer-links.js';
import {PeerServer} from '@buckthornpoint/peers/peer-server.js';
import {handleAnnouncement} from './handle-announcement.js';
import {applyDocument, applyOperatorChange, type OperatorChangeOpts} from './apply-operator-change.js';
import {BackendWatch} from './backend-watch.js';
import {ControllerReplies} from './controller-replies.js';
import {createGate} from './create-gate.js';
import {createHeartbeat} from './create-heartbeat.js';
import {handlePeerRequest} from './handle-peer-request.js';
import {judgeReadiness} from './readiness-response.js';
import {logControlEvent, logRequest} from './log-decisions.js';
import {NodeMetrics} from './node-metrics.js';
import {runPlannedStop} from './planned-stop.js';
import {PlainServer} from './simple-http-server.js';
import type {MeshSettings} from './settings.js';
import {deriveRetryBudget, deriveTimes, type MeshTimes} from './timeouts.js';

/** What a node is given. */
export type MeshNodeOpts = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly log: Log;
	/** Tells the runs of the node's process apart. */
	readonly incarnation: string;
};

/** How often the gate lets time pass, in milliseconds. */
const tickMs = 100;

const statusOk = 200;

/** The process beside a backend server of a fleet: it owns all sockets and joins the tasks. */
export class MeshNode {
	readonly #settings: MeshSettings;
	readonly #opts: MeshNodeOpts;
	readonly #times: MeshTimes;
	readonly #view = new FleetView();
	readonly #store: RowStore;
	readonly #lapseClock: LapseClock;
	readonly #watch: BackendWatch;
	readonly #gate: BackendGate;
	readonly #links: PeerLinks;
	readonly #peers: PeerServer;
	readonly #router: RequestRouter;
	readonly #callers: CallerServer;
	readonly #readiness: PlainServer;
	readonly #announcements: PlainServer;
	readonly #control: ControlTask;
	readonly #member: MemberTask;
	readonly #routes: RoutesTask;
	readonly #replies: ControllerReplies;
	readonly #fetch: RoutesFetch;
	readonly #routesSource = new RoutesSource();
	readonly #metrics: NodeMetrics;
	readonly #metricsServer: PlainServer;
	#timer: Timer | undefined;
	#isStopping = false;
	#wasFollowing = false;
	#isEnding = false;
	/** Until when requests of other nodes may last: a planned stop sets an end. */
	#endMs = Number.POSITIVE_INFINITY;

	constructor(settings: MeshSettings, opts: MeshNodeOpts) {
		this.#settings = settings;
		this.#opts = opts;
		this.#times = deriveTimes(settings);
		this.#store = new RowStore(settings.store);
		this.#lapseClock = new LapseClock(opts.clock);
		this.#watch = new BackendWatch({
			settings, times: this.#times, clock: opts.clock, lapseClock: this.#lapseClock, view: this.#view, log: opts.log, onChange: () => {
				this.#member.requestHeartbeat();
			},
		});
		this.#gate = createGate(settings, opts.clock, this.#watch);
		this.#links = new PeerLinks({
			clock: opts.clock,
			name: opts.incarnation,
			onBreak(address, reason) {
				opts.log.write({event: 'peer-failed', vmId: address, message: `${reason}; a new connection takes its place`});
			},
			onDown(address, reason) {
				opts.log.write({event: 'peer-failed', vmId: address, message: reason});
			},
			onProblem(address, message) {
				opts.log.write({event: 'internal-error', message: `${address}: ${message}`});
			},
		});
		this.#peers = this.#createPeerServer();
		this.#router = new RequestRouter({
			ownAddress: settings.listen.peers,
			failureDomain: settings.failureDomain,
			view: this.#view,
			gate: this.#gate,
			links: this.#links,
			statistics: new NodeStatisticsTable(),
			clock: opts.clock,
			random: opts.random,
			retryBudget: deriveRetryBudget(settings, () => this.#view.listAddresses().size),
		});
		this.#callers = new CallerServer({
			view: this.#view,
			router: this.#router,
			clock: opts.clock,
			getCallerService: () => this.#watch.getCallerService(),
			onFinished: finished => {
				this.#metrics.noteFinished(finished);
				logRequest(opts.log, finished);
			},
		});
		this.#readiness = new PlainServer(call => judgeReadiness(call, !this.#isStopping && this.#view.table !== undefined));
		this.#announcements = new PlainServer(call => handleAnnouncement(call, {watch: this.#watch, log: opts.log, isEnding: () => this.#isEnding}));
		this.#control = this.#createControl();
		this.#member = this.#createMember();
		this.#metrics = new NodeMetrics({
			gate: this.#gate,
			isController: () => this.#control.isLeading,
			getRoutesVersion: () => this.#view.table?.version ?? 0,
			countAssignedRanges: () => this.#watch.member.listAssigned().length,
		});
		this.#metricsServer = new PlainServer(async () => ({status: statusOk, body: await this.#metrics.render(), contentType: 'text/plain; version=0.0.4'}));
		const operatorChanges: OperatorChangeOpts = {
			view: this.#view,
			log: opts.log,
			onApplied: () => {
				this.#watch.refresh();
			},
		};
		this.#routes = new RoutesTask({
			store: this.#store,
			clock: opts.clock,
			random: opts.random,
			isFollowing: () => this.#member.isFollowing,
			onChange(change) {
				applyOperatorChange(change, operatorChanges);
			},
		});
		this.#fetch = new RoutesFetch({
			links: this.#links,
			clock: opts.clock,
			random: opts.random,
			listPeers: () => [...this.#view.listAddresses()].filter(address => address !== settings.listen.peers),
			getVersion: () => this.#view.table?.version ?? 0,
			apply(document) {
				applyDocument(document, operatorChanges);
			},
			onProblem(message) {
				opts.log.write({event: 'operator-row-invalid', message});
			},
		});
		this.#replies = new ControllerReplies({
			...operatorChanges, watch: this.#watch, links: this.#links, routes: this.#routes, fetch: this.#fetch,
		});
	}

	/** Listens, and begins to take part. */
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
		this.#advance();
	}

	/** Ends as planned: takes nothing new, answers what it has, and gives its duties back, within the grace time. */
	async stop(): Promise<void> {
		this.#isStopping = true;
		this.#member.requestHeartbeat();
		await runPlannedStop({
			clock: this.#opts.clock,
			callers: this.#callers,
			gate: this.#gate,
			peers: this.#peers,
			graceMs: this.#times.graceMs,
			release: async () => this.#control.release(),
			refuseBeyond: endMs => {
				this.#endMs = endMs;
			},
			onStep: step => {
				this.#isEnding ||= step.step === 'ending-connections';
				this.#opts.log.write({event: 'stop-step', ...step});
			},
		});
	}

	close(): void {
		const parts = [this.#routes, this.#fetch, this.#member, this.#control, this.#gate, this.#links, this.#peers, this.#callers, this.#readiness, this.#announcements, this.#metricsServer];
		this.#timer?.close();
		this.#router.stop();
		for (const part of parts) {
			part.close();
		}

		void this.#store.close();
	}

	#createPeerServer(): PeerServer {
		return new PeerServer(this.#opts.clock, {
			onRequest: (received, reply) => handlePeerRequest(received, reply, {
				gate: this.#gate, log: this.#opts.log, clock: this.#opts.clock, getEndMs: () => this.#endMs,
			}),
			onCall: (meta, reply) => {
				const call = meta as ControlCall | RoutesCall; // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
				reply('heartbeat' in call ? this.#member.handleCall(call) : this.#routesSource.createAnswer(call, this.#view.getRoutes()));
			},
			onNotice: meta => {
				this.#member.handleNotice(meta as NodeNotice); // eslint-disable-line @typescript-eslint/no-unsafe-type-assertion
			},
			onProblem: message => {
				this.#opts.log.write({event: 'peer-failed', vmId: '', message});
			},
		});
	}

	#createControl(): ControlTask {
		const {clock, random, incarnation} = this.#opts;
		return new ControlTask({
			identity: {vmId: this.#settings.vmId, incarnation, address: this.#settings.listen.peers},
			store: this.#store,
			clock,
			random,
			times: this.#times.controller,
			getRules: () => this.#view.getRules(),
			getRoutesVersion: () => this.#view.table?.version ?? 0,
			getEvacuation: () => this.#view.getEvacuation(),
			getInitialState: () => this.#view.getKnown(),
			requestHeartbeats: addresses => {
				this.#links.announce(addresses, {} satisfies NodeNotice);
			},
			announceTakeover: epoch => {
				const {peers} = this.#settings.listen;
				this.#links.announce([...this.#view.listAddresses()].filter(address => address !== peers), {controller: {address: peers, epoch}} satisfies NodeNotice);
			},
			onEvent: event => {
				logControlEvent(this.#opts.log, event);
				if (event.kind === 'store-regained') {
					this.#routes.refresh();
				}
			},
		});
	}

	#createMember(): MemberTask {
		return new MemberTask({
			address: this.#settings.listen.peers,
			control: this.#control,
			links: this.#links,
			clock: this.#opts.clock,
			lapseClock: this.#lapseClock,
			random: this.#opts.random,
			createHeartbeat: () => createHeartbeat({
				settings: this.#settings, view: this.#view, watch: this.#watch, incarnation: this.#opts.incarnation, isStopping: this.#isStopping,
			}),
			applyReply: (reply, sentMs, backend) => {
				this.#replies.apply(reply, sentMs, backend);
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
		if (this.#wasFollowing && !this.#member.isFollowing) {
			this.#routes.refresh();
		}

		this.#wasFollowing = this.#member.isFollowing;
		this.#gate.advance();
		this.#timer = this.#opts.clock.startTimer(tickMs, () => {
			this.#advance();
		});
	}
}
