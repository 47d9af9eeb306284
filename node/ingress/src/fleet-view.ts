import {AccountIndex} from '@buckthornpoint/accounts/account-index.js';
import {sha256} from '@buckthornpoint/fleet/sha256.js';
import {partialVersionSuffix} from '@buckthornpoint/key-ranges/directory-log.js';
import {findByKey, type BackendInstanceKey} from '@buckthornpoint/key-ranges/key-ranges.js';
import {LeavingInstances} from '@buckthornpoint/key-ranges/leaving-instances.js';
import type {OwnershipRules} from '@buckthornpoint/key-ranges/classify-backend.js';
import {
	isOlderPosition, type DirectoryEntry, type EvacuationOrders, type HeartbeatReply, type StorePosition,
} from '@buckthornpoint/key-ranges/messages.js';
import type {InheritedState} from '@buckthornpoint/key-ranges/controller-start.js';
import {applyMapChanges, type RangeMap} from '@buckthornpoint/key-ranges/range-map.js';
import {decodeRangeMapRecord, type RangeMapChanges, type RangeMapUpdate} from '@buckthornpoint/key-ranges/range-map-record.js';
import {hasSeveralPriorities, RouteIndex, type RouteTable} from '@buckthornpoint/routes/routes.js';

/** A node's view of the fleet: the directory of nodes, the owners of keys and the operator's configuration. Only the handlers of operator changes and of controller replies write to it. */
export class FleetView {
	/** Backend server instances that controllers have reported as leaving. */
	readonly leavingInstances = new LeavingInstances();
	readonly #mapByService = new Map<string, RangeMap>();
	#evacuatedDomains = new Set<string>();
	/** Position in the store's changes up to which all evacuation orders have been applied. */
	#ordersPosition: StorePosition = {era: 0, version: 0};
	#entryByVm = new Map<string, DirectoryEntry>();
	#addresses: ReadonlySet<string> = new Set();
	#entryByBackend = new Map<BackendInstanceKey, DirectoryEntry>();
	#availableByService = new Map<string, readonly DirectoryEntry[]>();
	#availableByDomain = new Map<string, readonly DirectoryEntry[]>();
	#directoryVersion = '';
	#routeTable: RouteTable | undefined;
	#routeIndex: RouteIndex | undefined;
	#accountIndex: AccountIndex | undefined;
	/** It contains the keys of accounts, so it is sent to other nodes and never logged. */
	#routesDocument: string | undefined;
	#sharedServices: ReadonlySet<string> = new Set();
	readonly #mayShareCapacity: boolean;

	/** Without `mayShareCapacity`, no service shares its capacity among priorities. */
	constructor({mayShareCapacity = true}: {readonly mayShareCapacity?: boolean} = {}) {
		this.#mayShareCapacity = mayShareCapacity;
	}

	get routeTable(): RouteTable | undefined {
		return this.#routeTable;
	}

	get routeIndex(): RouteIndex | undefined {
		return this.#routeIndex;
	}

	/** The accounts of the configuration in force; undefined if it has none. */
	get accountIndex(): AccountIndex | undefined {
		return this.#accountIndex;
	}

	/** Services whose requests have more than one priority in the configuration in force. */
	get sharedServices(): ReadonlySet<string> {
		return this.#sharedServices;
	}

	get directoryVersion(): string {
		return this.#directoryVersion;
	}

	/** The part of the operator's configuration that ownership depends on; undefined until the node has read the configuration and the evacuation orders. */
	getOwnershipRules(): OwnershipRules | undefined {
		if (this.#routeTable === undefined || !this.hasOrders) {
			return undefined;
		}

		return {
			partitionedServices: new Set([...this.#routeTable.services.values()].filter(({isDivided}) => isDivided).map(({name}) => name)),
			evacuatedDomains: this.#evacuatedDomains,
		};
	}

	/** The operator's configuration document that the routes were read from, and its version. */
	getRoutes(): {readonly version: number; readonly document: string} | undefined {
		return this.#routeTable === undefined || this.#routesDocument === undefined ? undefined : {version: this.#routeTable.version, document: this.#routesDocument};
	}

	/** Replaces the configuration if the given one is newer. Returns whether it was replaced. */
	setRoutes(table: RouteTable, document: string): boolean {
		if (this.#routeTable !== undefined && table.version <= this.#routeTable.version) {
			return false;
		}

		this.#routeTable = table;
		this.#routeIndex = new RouteIndex(table);
		this.#accountIndex = table.accounts === undefined || table.accounts.length === 0 ? undefined : new AccountIndex(table.accounts, sha256);
		this.#routesDocument = document;
		this.#sharedServices = new Set([...table.services.keys()].filter(service => this.#mayShareCapacity && hasSeveralPriorities(table, service)));
		return true;
	}

	/**
	 * Applies an operator's order to evacuate a failure domain or to end its evacuation. Orders before the recorded position
	 * are ignored, so that an older order never undoes a newer one. Returns whether anything changed.
	 */
	setEvacuated(domain: string, isEvacuated: boolean, position: StorePosition): boolean {
		if (isOlderPosition(position, this.#ordersPosition) || this.#evacuatedDomains.has(domain) === isEvacuated) {
			return false;
		}

		if (isEvacuated) {
			this.#evacuatedDomains.add(domain);
		} else {
			this.#evacuatedDomains.delete(domain);
		}

		return true;
	}

	/** Replaces all evacuation orders with those of a later position. Returns whether anything changed. */
	applyEvacuation({version, era = 0, domains}: EvacuationOrders): boolean {
		if (!isOlderPosition(this.#ordersPosition, {era, version})) {
			return false;
		}

		this.#ordersPosition = {era, version};
		const hasChanged = domains.length !== this.#evacuatedDomains.size || domains.some(domain => !this.#evacuatedDomains.has(domain));
		this.#evacuatedDomains = new Set(domains);
		return hasChanged;
	}

	/** Records that all orders up to a position have been applied. */
	recordOrdersPosition(position: StorePosition): void {
		if (isOlderPosition(this.#ordersPosition, position)) {
			this.#ordersPosition = position;
		}
	}

	/** Whether the operator's evacuation orders are known. Until then, no failure domain counts as evacuated. */
	get hasOrders(): boolean {
		return this.#ordersPosition.version > 0;
	}

	getEvacuation(): EvacuationOrders & StorePosition {
		return {...this.#ordersPosition, domains: [...this.#evacuatedDomains]};
	}

	/** Applies the directory and the range maps of a controller's reply. Returns one message for each map that can't be decoded. */
	applyReply(reply: HeartbeatReply): readonly string[] {
		if (reply.directory !== undefined) {
			this.#applyDirectory(reply.directory, reply);
		}

		return (reply.maps ?? []).flatMap(update => this.#applyMap(update));
	}

	/** Versions of the range maps, by service. */
	listMapVersions(): Readonly<Record<string, number>> {
		return Object.fromEntries([...this.#mapByService].map(([service, {version}]) => [service, version]));
	}

	/** Returns the nodes whose backend server accepts requests of a service, in all failure domains or in one. */
	listNodes(service: string, failureDomain?: string): readonly DirectoryEntry[] {
		return (failureDomain === undefined ? this.#availableByService.get(service) : this.#availableByDomain.get(formatDomainKey(service, failureDomain))) ?? [];
	}

	/** Returns the node of the owner of a key; undefined if the key has no owner or the owner's node is not in the directory. */
	findOwner(service: string, key: number): DirectoryEntry | undefined {
		const map = this.#mapByService.get(service);
		const owner = map === undefined ? undefined : findByKey(map.segments, key)?.owner;
		return owner === undefined ? undefined : this.#entryByBackend.get(owner);
	}

	isEvacuated(domain: string): boolean {
		return this.#evacuatedDomains.has(domain);
	}

	/** Initial state for a controller that starts on this node. Omits a partial directory, which may list VMs that no longer exist. */
	getControllerInitialState(): InheritedState {
		const isComplete = this.#directoryVersion !== '' && !this.#directoryVersion.endsWith(partialVersionSuffix);
		return {
			leavingInstances: this.leavingInstances,
			maps: [...this.#mapByService.values()],
			directory: isComplete ? {version: this.#directoryVersion, entries: [...this.#entryByVm.values()]} : undefined,
		};
	}

	listAddresses(): ReadonlySet<string> {
		return this.#addresses;
	}

	/** Lists the addresses of the other nodes. */
	listPeers(ownAddress: string): readonly string[] {
		return [...this.#addresses].filter(address => address !== ownAddress);
	}

	#applyMap(update: RangeMapUpdate): readonly string[] {
		if ('since' in update) {
			this.#applyMapChanges(update);
			return [];
		}

		return decodeRangeMapRecord(update).match(map => {
			this.#mapByService.set(map.service, map);
			return [];
		}, problem => [problem]);
	}

	/** Ignores changes that are based on another version: the next heartbeat reports the present version to the controller. */
	#applyMapChanges({service, version, era = 0, since, owners, segments}: RangeMapChanges): void {
		const known = this.#mapByService.get(service);
		if (known?.version === since) {
			this.#mapByService.set(service, applyMapChanges({...known, era}, version, segments.flatMap(([from, to, index]) => {
				const [owner, vmId] = owners[index] ?? [];
				return owner === undefined || vmId === undefined
					? []
					: [{
						from, to, owner, vmId,
					}];
			})));
		}
	}

	#applyDirectory(directory: readonly DirectoryEntry[], {directoryRemoved, isDirectoryComplete, directoryVersion}: HeartbeatReply): void {
		const isFullDirectory = directoryRemoved === undefined && isDirectoryComplete;
		const entries = isFullDirectory ? new Map<string, DirectoryEntry>() : new Map(this.#entryByVm);
		for (const vmId of directoryRemoved ?? []) {
			entries.delete(vmId);
		}

		for (const entry of directory) {
			entries.set(entry.vmId, entry);
			if (entry.backend !== undefined && entry.backend.state !== 'ready') {
				this.leavingInstances.record(entry.vmId, entry.backend.key);
			}
		}

		for (const [vmId] of isFullDirectory || directoryRemoved !== undefined ? this.leavingInstances.listAll() : []) {
			if (!entries.has(vmId)) {
				this.leavingInstances.remove(vmId);
			}
		}

		this.#setDirectory([...entries.values()], directoryVersion);
	}

	#setDirectory(directory: readonly DirectoryEntry[], version: string): void {
		this.#directoryVersion = version;
		this.#addresses = new Set(directory.map(({address}) => address));
		this.#entryByVm = new Map(directory.map(entry => [entry.vmId, entry]));
		this.#entryByBackend = new Map(directory.flatMap(entry => entry.backend === undefined ? [] : [[entry.backend.key, entry]]));
		const available = directory.filter(({backend, isStopping}) => backend?.state === 'ready' && !isStopping);
		this.#availableByService = groupEntries(available, ({backend}) => backend?.service ?? '');
		this.#availableByDomain = groupEntries(available, ({backend, failureDomain}) => formatDomainKey(backend?.service ?? '', failureDomain));
	}
}

function formatDomainKey(service: string, failureDomain: string): string {
	return `${service}\n${failureDomain}`;
}

function groupEntries(entries: readonly DirectoryEntry[], getKey: (entry: DirectoryEntry) => string): Map<string, readonly DirectoryEntry[]> {
	const groups = new Map<string, DirectoryEntry[]>();
	for (const entry of entries) {
		const key = getKey(entry);
		const group = groups.get(key) ?? [];
		group.push(entry);
		groups.set(key, group);
	}

	return groups;
}
