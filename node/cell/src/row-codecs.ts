import type {CellRecord, LeaseRecord} from '@buckthornpoint/ownership/records.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import {
	array, boolean, Codec, exactly, number, oneOf, optional, string, type Either,
} from 'purify-ts';

/** Decodes the value of a row. */
export type RowDecoder<T> = {
	readonly decode: (value: unknown) => Either<string, T>;
};

const nodeCodec = Codec.interface({vmId: string, incarnation: string});

const backendServerCodec = Codec.interface({
	name: string, service: string, origin: string, slots: number, checksFence: boolean, incarnation: string, leaving: boolean,
});

const memberCodec = Codec.interface({
	vmId: string,
	incarnation: string,
	peerOrigin: string,
	callerOrigin: string,
	failureDomain: string,
	phase: oneOf([exactly('joining'), exactly('active'), exactly('leaving')]),
	backendServer: optional(backendServerCodec),
});

const placementCodec = Codec.interface({
	service: string,
	owners: array(number),
	exceptions: array(Codec.interface({key: string, owner: string})),
});

const ruleCodec = Codec.interface({
	method: string,
	pathPrefix: string,
	idempotent: boolean,
	requestClass: oneOf([exactly('interactive'), exactly('transactional'), exactly('service-to-service')]),
	defaultDeadlineMs: number,
});

const serviceCodec = Codec.interface({
	name: string,
	tenant: string,
	divided: boolean,
	partitionCount: number,
	maxConnections: number,
	coldConcurrency: number,
	rules: array(ruleCodec),
});

/** Decodes the row `leases/<cell>`. */
export const leaseCodec: RowDecoder<LeaseRecord> = Codec.interface({
	epoch: number, controller: nodeCodec, peerOrigin: string, renewal: number, authorityMs: number, resigned: optional(boolean),
});

/** Decodes the row `cells/<cell>`. */
export const cellCodec: RowDecoder<CellRecord> = Codec.interface({
	members: array(memberCodec),
	map: Codec.interface({version: number, vmIds: array(string), placements: array(placementCodec)}),
	epoch: number,
});

/** Decodes the row `configuration`. */
export const configurationCodec: RowDecoder<Configuration> = Codec.interface({
	version: number,
	services: array(serviceCodec),
	failureDomains: array(Codec.interface({name: string, out: boolean})),
	stoppingVms: array(string),
	deadVms: array(string),
});
