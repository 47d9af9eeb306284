import {errorCodes, type ErrorCode} from '@buckthornpoint/errors/codes.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import {
	array, boolean, Codec, Maybe, number, optional, string,
} from 'purify-ts';
import {commandKinds, type OperatorCommand} from './commands.js';

/** The properties of every change that an operator requests. */
export type ChangeOpts = {
	/** Generated once for a change and repeated when it is sent again, so that a change that was already applied is recognised. */
	readonly changeId: string;
	/** The requesting operator, for the history. */
	readonly operator: string;
	/** Only checks the change and reports its effect. */
	readonly checkOnly: boolean;
	/** Accepts the change even if it leaves a service without a backend server. */
	readonly force: boolean;
};

/** A request to apply a release note. */
export type NoteRequest = ChangeOpts & {
	/** The unparsed note. */
	readonly text: string;
	/** Name of the note's file, for findings. */
	readonly file: string;
};

/** A request to apply a command. */
export type CommandRequest = ChangeOpts & {
	readonly command: OperatorCommand;
};

/** The result of a change that was accepted, was only checked, or changes nothing. */
export type ChangeAnswer = {
	readonly outcome: 'accepted' | 'checked' | 'unchanged';
	/** Version that the change creates; for `unchanged` the version in force. */
	readonly version: number;
	/** The differences, one line each. */
	readonly changes: readonly string[];
};

/** An accepted version in the history. */
export type HistoryEntry = {
	readonly version: number;
	/** When it was accepted, in milliseconds since the Unix epoch by the clock of the node that wrote it. */
	readonly acceptedAtMs: number;
	readonly operator: string;
	readonly summary: string;
	readonly changes: readonly string[];
};

/** Why an operator's request failed. */
export type OperatorFailure = {
	readonly code: ErrorCode;
	readonly message: string;
	readonly findings: readonly Finding[];
	/** For a conflict: the versions that were accepted in the meantime, newest first. */
	readonly changedMeanwhile: readonly HistoryEntry[];
};

/** The owner of a key and the reasons for it, as one node knows them. */
export type KeyExplanation = {
	readonly service: string;
	readonly key: string;
	readonly partition: number;
	readonly partitionCount: number;
	readonly isException: boolean;
	readonly mapVersion: number;
	/** Absent if no VM can own the key. */
	readonly owner?: {
		readonly vmId: string;
		readonly failureDomain: string;
		readonly callerOrigin: string;
		readonly backendServer?: string;
	};
	/** The owner's grant; present only if the node that answers is the owner. */
	readonly grant?: {
		/** `epoch.counter` */
		readonly fence: string;
		readonly releasing: boolean;
		/** Remaining time of the lease that the grant depends on; 0 for none. */
		readonly leaseRemainingMs: number;
	};
	/** The reasons for the owner, one sentence each. */
	readonly reasons: readonly string[];
};

const changeOptsFields = {
	changeId: string, operator: string, checkOnly: boolean, force: boolean,
};

/** Decodes a `NoteRequest`. */
export const noteRequestCodec = Codec.interface({...changeOptsFields, text: string, file: string});

/** Decodes a `CommandRequest`. */
export const commandRequestCodec = Codec.interface({
	...changeOptsFields,
	command: Codec.interface({kind: createEnumCodec(commandKinds), name: string}),
});

/** Decodes a `ChangeAnswer`. */
export const changeAnswerCodec = Codec.interface({
	outcome: createEnumCodec(['accepted', 'checked', 'unchanged']), version: number, changes: array(string),
});

/** Decodes a `HistoryEntry`. */
export const historyEntryCodec = Codec.interface({
	version: number, acceptedAtMs: number, operator: string, summary: string, changes: array(string),
});

const errorCodeCodec = createEnumCodec(errorCodes);

const findingCodec = Codec.interface({
	code: errorCodeCodec,
	message: string,
	place: optional(Codec.interface({file: string, line: number, column: number})),
	hint: optional(string),
});

/** Decodes an `OperatorFailure`. */
export const operatorFailureCodec = Codec.interface({
	code: errorCodeCodec, message: string, findings: array(findingCodec), changedMeanwhile: array(historyEntryCodec),
});

/** Decodes a `KeyExplanation`. */
export const keyExplanationCodec = Codec.interface({
	service: string,
	key: string,
	partition: number,
	partitionCount: number,
	isException: boolean,
	mapVersion: number,
	owner: optional(Codec.interface({
		vmId: string, failureDomain: string, callerOrigin: string, backendServer: optional(string),
	})),
	grant: optional(Codec.interface({fence: string, releasing: boolean, leaseRemainingMs: number})),
	reasons: array(string),
});

export function createOperatorFailure(code: ErrorCode, message: string, findings: readonly Finding[] = []): OperatorFailure {
	return {
		code, message, findings, changedMeanwhile: [],
	};
}

/** Creates the failure of a change that was refused because of findings. */
export function createRefusal(findings: readonly Finding[]): OperatorFailure {
	const [first] = findings;
	const conflict = findings.find(({code}) => code === 'ERR_CONFIGURATION_CONFLICT');
	const code = conflict?.code ?? (findings.length === 1 ? first?.code : undefined) ?? 'ERR_CONFIGURATION_INVALID';
	return createOperatorFailure(code, `refused with ${findings.length} ${findings.length === 1 ? 'finding' : 'findings'}; nothing was accepted`, findings);
}

function createEnumCodec<const Value extends string>(values: readonly Value[]): Codec<Value> {
	return Codec.custom<Value>({
		decode: value => Maybe.fromNullable(values.find(literal => literal === value)).toEither(`expected one of ${values.join(', ')}`),
		encode: string.encode,
	});
}
