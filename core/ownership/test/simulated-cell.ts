import {SeededRandom} from '@buckthornpoint/clock/seeded-random.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {CellEffect, CellEvent, CellInput} from '../src/machine.js';
import type {CellWrite, WriteOutcome} from '../src/records.js';
import {EventQueue} from './event-queue.js';
import {noNetworkFaults, noStoreFaults} from './faults.js';
import {InvariantChecker} from './invariants.js';
import {SimulatedNode} from './simulated-node.js';
import {SimulatedStore} from './simulated-store.js';

const drainMs = 50;
const storeTimeoutMs = 500;

/** A cell in virtual time: node state machines, a network and a store with injected faults, and the invariant checker. */
export class SimulatedCell extends EventQueue {
	readonly random: SeededRandom;
	readonly store = new SimulatedStore();
	readonly checker = new InvariantChecker();
	readonly nodes = new Map<string, SimulatedNode>();
	readonly instances = new Map<string, SimulatedNode>();
	readonly blockedPaths = new Set<string>();
	readonly trace: string[] = [];
	storeFaults = noStoreFaults;
	networkFaults = noNetworkFaults;
	configuration: Configuration;
	readonly #maxDrift: number;
	#instanceCount = 0;

	constructor(seed: number, configuration: Configuration, maxDrift = 0.01) {
		super();
		this.random = new SeededRandom(seed);
		this.configuration = configuration;
		this.#maxDrift = maxDrift;
	}

	/** Starts a node on a VM after ending the one that runs there. */
	startNode(vmId: string, failureDomain: string): void {
		this.stopNode(vmId);
		this.replaceNode(vmId, failureDomain);
	}

	/** Starts a node on a VM without ending a paused one that it replaces; the paused one may resume. */
	replaceNode(vmId: string, failureDomain: string): void {
		this.#instanceCount += 1;
		const node = new SimulatedNode({
			vmId,
			failureDomain,
			incarnation: `${vmId}-${this.#instanceCount}`,
			startMs: this.nowMs,
			clockRate: 1 + (this.#maxDrift * ((2 * this.random.generateFraction()) - 1)),
			configuration: this.configuration,
			random: this.random,
		});
		this.nodes.set(vmId, node);
		this.instances.set(node.identity.incarnation, node);
		this.checker.addInstance(node);
		this.stepNode(node, {kind: 'wake'});
		this.addEvent(this.random.generateIntegerBelow(100), () => {
			this.announce(node);
		});
	}

	/** Announces a new instance of the backend server that is local to a node. */
	announce(node: SimulatedNode): void {
		this.#instanceCount += 1;
		this.stepNode(node, {
			kind: 'backend-server-announced',
			backendServer: {
				name: node.identity.vmId, service: 'stock', origin: 'http://127.0.0.1:1', slots: 18, checksFence: false, incarnation: String(this.#instanceCount), leaving: false,
			},
		});
	}

	/** Ends the node process on a VM at once. */
	stopNode(vmId: string): void {
		const node = this.nodes.get(vmId);
		if (node !== undefined) {
			node.isAlive = false;
			this.nodes.delete(vmId);
		}
	}

	/**
	 * Pauses a node process and, if `isMonotonicStopped`, its monotonic clock. Inputs that arrive during the pause are
	 * applied after it.
	 */
	sleepNode(vmId: string, durationMs: number, isMonotonicStopped: boolean): void {
		const node = this.nodes.get(vmId);
		if (node === undefined || node.isPaused) {
			return;
		}

		node.isPaused = true;
		this.addEvent(durationMs, () => {
			node.isPaused = false;
			if (isMonotonicStopped) {
				node.addClockLag(durationMs);
			}

			this.stepNode(node, {kind: 'wake'});
			for (const input of node.pendingInputs.splice(0)) {
				this.stepNode(node, input);
			}
		});
	}

	/** Blocks messages from one VM to another; `store` stands for the store. */
	addBlock(from: string, to: string): void {
		this.blockedPaths.add(`${from}>${to}`);
	}

	/** Ends all faults of the network and the store. */
	removeFaults(): void {
		this.blockedPaths.clear();
		this.storeFaults = noStoreFaults;
		this.networkFaults = noNetworkFaults;
	}

	/** Passes one input to a node and carries out the effects. */
	stepNode(node: SimulatedNode, input: CellInput): void {
		if (!node.isAlive) {
			return;
		}

		if (node.isPaused) {
			node.pendingInputs.push(input);
			return;
		}

		for (const effect of node.step(input, this.nowMs)) {
			this.#applyEffect(node, effect);
		}
	}

	/** Adds a line to the trace. */
	addTraceLine(node: SimulatedNode | undefined, text: string): void {
		this.trace.push(`${(this.nowMs / 1000).toFixed(2).padStart(7)} ${node?.identity.incarnation ?? '-'} ${text}`);
	}

	#applyEffect(node: SimulatedNode, effect: CellEffect): void {
		switch (effect.kind) {
			case 'send': {
				this.#send(node, effect);
				break;
			}

			case 'read-store': {
				this.#readStore(node, effect.operationId);
				break;
			}

			case 'write-store': {
				this.#writeStore(node, effect.operationId, effect.write);
				break;
			}

			case 'wake-at': {
				this.#setWake(node, effect.monotonicMs);
				break;
			}

			case 'ownership-changed': {
				node.view = effect.view;
				this.checker.checkInstance(node, this.nowMs);
				this.#drain(node);
				break;
			}

			case 'routing-changed': {
				node.mapVersion = effect.table.map.version;
				break;
			}

			case 'configuration-changed': {
				this.checker.checkConfiguration(node, effect.configuration.version);
				node.configurationVersion = effect.configuration.version;
				break;
			}

			case 'stopped': {
				this.addTraceLine(node, 'stopped');
				this.stopNode(node.identity.vmId);
				break;
			}

			case 'event': {
				this.addTraceLine(node, formatEvent(effect.event));
				break;
			}
		}
	}

	#send(node: SimulatedNode, {peerOrigin, to, message}: Extract<CellEffect, {kind: 'send'}>): void {
		const vmId = peerOrigin.slice('http://'.length);
		const {lost, duplicates, maxDelayMs} = this.networkFaults;
		const copies = this.random.generateFraction() < duplicates ? 2 : 1;
		for (let copy = 0; copy < copies; copy++) {
			const isLost = this.random.generateFraction() < lost || this.blockedPaths.has(`${node.identity.vmId}>${vmId}`);
			this.addEvent(1 + this.random.generateIntegerBelow(maxDelayMs), () => {
				const target = to === undefined ? this.nodes.get(vmId) : this.instances.get(to.incarnation);
				if (!isLost && target !== undefined) {
					this.stepNode(target, {kind: 'message', from: node.identity, message});
				}
			});
		}
	}

	#readStore(node: SimulatedNode, operationId: number): void {
		const {isDown, lostAnswers, maxDelayMs} = this.storeFaults;
		const delayMs = 1 + this.random.generateIntegerBelow(maxDelayMs);
		if (isDown || this.blockedPaths.has(`${node.identity.vmId}>store`) || this.random.generateFraction() < lostAnswers) {
			this.addEvent(isDown ? delayMs : storeTimeoutMs, () => {
				this.stepNode(node, {kind: 'store-read', operationId, rows: undefined});
			});
			return;
		}

		this.addEvent(delayMs, () => {
			const rows = this.store.read();
			this.addEvent(1 + this.random.generateIntegerBelow(maxDelayMs), () => {
				this.stepNode(node, {kind: 'store-read', operationId, rows});
			});
		});
	}

	#writeStore(node: SimulatedNode, operationId: number, write: CellWrite): void {
		const {isDown, lostAnswers, duplicates, maxDelayMs} = this.storeFaults;
		const answer = (delayMs: number, outcome: WriteOutcome): void => {
			this.addEvent(delayMs, () => {
				this.stepNode(node, {kind: 'store-written', operationId, outcome});
			});
		};

		if (isDown) {
			answer(1, 'unavailable');
			return;
		}

		const isBlocked = this.blockedPaths.has(`${node.identity.vmId}>store`);
		const isAnswerLost = isBlocked || this.random.generateFraction() < lostAnswers;
		if (isAnswerLost) {
			answer(storeTimeoutMs, 'outcome-unknown');
		}

		const copies = this.random.generateFraction() < duplicates ? 2 : 1;
		for (let copy = 0; copy < (isBlocked ? 0 : copies); copy++) {
			this.addEvent(1 + this.random.generateIntegerBelow(maxDelayMs), () => {
				const outcome = this.store.write(write) ? 'written' : 'conflict';
				this.checker.checkStored(this.store.cell.value);
				if (!isAnswerLost && copy === 0) {
					answer(1 + this.random.generateIntegerBelow(maxDelayMs), outcome);
				}
			});
		}
	}

	#setWake(node: SimulatedNode, monotonicMs: number): void {
		node.wakeNumber += 1;
		const {wakeNumber} = node;
		this.addEvent(Math.max(0.1, node.findTrueTime(monotonicMs) - this.nowMs), () => {
			if (node.wakeNumber === wakeNumber) {
				this.stepNode(node, {kind: 'wake'});
			}
		});
	}

	#drain(node: SimulatedNode): void {
		for (const {partition, releasing, fence} of node.view.grants.values()) {
			if (releasing) {
				this.addEvent(drainMs, () => {
					const held = node.view.grants.get(`${partition.service}/${partition.partition}`);
					if (held?.releasing && held.fence.counter === fence.counter) {
						this.stepNode(node, {kind: 'partition-drained', partition});
					}
				});
			}
		}
	}
}

function formatEvent(event: CellEvent): string {
	const {name, ...rest} = event;
	return `${name} ${Object.values(rest).join(' ')}`.trimEnd();
}
