import {decodeConfiguration} from '@buckthornpoint/configuration/decode-configuration.js';
import {toResult} from '@buckthornpoint/documents/either.js';
import {formatFindings} from '@buckthornpoint/errors/findings.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {Result} from 'neverthrow';
import {
	array, boolean, Codec, exactly, number, oneOf, optional, string, unknown, type GetType,
} from 'purify-ts';

const backendServerCodec = Codec.interface({name: string, service: string, leaving: boolean});

const memberCodec = Codec.interface({
	vmId: string,
	failureDomain: string,
	phase: oneOf([exactly('joining'), exactly('active'), exactly('leaving')]),
	callerOrigin: string,
	backendServer: optional(backendServerCodec),
	silentForMs: optional(number),
	configurationVersion: optional(number),
	partitionCount: number,
});

const statusCodec = Codec.interface({
	cell: string,
	node: Codec.interface({vmId: string, incarnation: string}),
	role: oneOf([exactly('controller'), exactly('candidate'), exactly('member')]),
	epoch: number,
	controller: optional(Codec.interface({vmId: string, incarnation: string})),
	controllerOrigin: optional(string),
	leaseRemainingMs: number,
	storeReachable: optional(boolean),
	configurationVersion: number,
	mapVersion: number,
	members: array(memberCodec),
	/** The grants held by the node that answered. */
	grants: array(unknown),
});

/** A member of the cell, as listed in the status. */
export type StatusMember = Readonly<GetType<typeof memberCodec>>;

/** Status of the cell as known to the node that answered, and the configuration in force on that node. */
export type StatusAnswer = {
	readonly status: Readonly<GetType<typeof statusCodec>>;
	readonly configuration: Configuration;
};

const answerCodec = Codec.interface({status: statusCodec, configuration: unknown});

/** Decodes the answer to a status query. */
export function decodeStatusAnswer(body: unknown): Result<StatusAnswer, string> {
	return toResult(answerCodec.decode(body)).andThen(({status, configuration}) => decodeConfiguration(configuration)
		.map(value => ({status, configuration: value}))
		.mapErr(findings => formatFindings(findings)));
}
