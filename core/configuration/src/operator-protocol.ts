import {errorCodes, type ErrorCode} from '@buckthornpoint/errors/codes.js';
import type {Finding} from '@buckthornpoint/errors/findings.js';
import {
	array, boolean, Codec, Maybe, number, optional, string,
} from 'purify-ts';
import {commandKinds, type OperatorCommand} from './commands.js';

/** What every change that an operator asks for carries. */
export type ChangeOpts = {
	/** Drawn once for a change and kept when it is sent again, so that its effect is recognised. */
	readonly changeId: string;
	/** Who asks, for the history. */
	readonly operator: string;
	/** Only says what would change. */
	readonly checkOnly: boolean;
	/** Accepts that a service is left without a backend server. */
	readonly force: boolean;
};

/** Asks to carry out a release note. */
export type NoteRequest = ChangeOpts & {
	/** The note as the operator wrote it. */
	readonly text: string;
	/** Name of its file, for findings. */
	readonly file: string;
};

/** Asks to carry out a command. */
export type CommandRequest = ChangeOpts & {
	readonly command: OperatorCommand;
};

/** A change that was accepted, or checked, or that is so already. */
export type ChangeAnswer = {
	readonly outcome: 'accepted' | 'checked' | 'unchanged';
	/** Version that the change makes; for `unchanged` the version in force. */
	readonly version: number;
	/** What differs, one line each. */
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

/** Why an operator's request has no result. */
export type OperatorFailure = {
	readonly code: ErrorCode;
	readonly message: string;
	readonly findings: readonly Finding[];
	/** For a conflict: the versions that were accepted since, newest first. */
	readonly changedMeanwhile: readonly HistoryEntry[];
};

/** Where a key lives, as one node knows it. */
export type KeyExplanation = {
	readonly service: string;
	readonly key: string;
	readonly partition: number;
	readonly partitionCount: number;
	readonly isException: boolean;
	readonly mapVersion: number;
	/** Absent when no VM can own it. */
	readonly owner?: {
		readonly vmId: string;
		readonly failureDomain: string;
		readonly callerOrigin: string;
		readonly backendServer?: string;
	};
	/** The owner's grant; present only when the asked node is the owner. */
	readonly grant?: {
		/** `epoch.counter` */
		readonly fence: string;
		readonly releasing: boolean;
		/** Time left of the lease that carries it, in milliseconds; 0 for none. */
		readonly leaseRemainingMs: number;
	};
	/** The reasons, one sentence each. */
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
	command: Codec.interface({kind: createWordCodec(commandKinds), name: string}),
});

/** Decodes a `ChangeAnswer`. */
export const changeAnswerCodec = Codec.interface({
	outcome: createWordCodec(['accepted', 'checked', 'unchanged']), version: number, changes: array(string),
});

/** Decodes a `HistoryEntry`. */
export const historyEntryCodec = Codec.interface({
	version: number, acceptedAtMs: number, operator: string, summary: string, changes: array(string),
});

const errorCodeCodec = createWordCodec(errorCodes);

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

/** Creates a failure. */
export function createOperatorFailure(code: ErrorCode, message: string, findings: readonly Finding[] = []): OperatorFailure {
	return {
		code, message, findings, changedMeanwhile: [],
	};
}

/** Creates the failure of a change that was checked and refused. */
export function createRefusal(findings: readonly Finding[]): OperatorFailure {
	const [first] = findings;
	const conflict = findings.find(({code}) => code === 'ERR_CONFIGURATION_CONFLICT');
	const code = conflict?.code ?? (findings.length === 1 ? first?.code : undefined) ?? 'ERR_CONFIGURATION_INVALID';
	return createOperatorFailure(code, `refused with ${findings.length} ${findings.length === 1 ? 'finding' : 'findings'}; nothing was accepted`, findings);
}

function createWordCodec<const Word extends string>(words: readonly Word[]): Codec<Word> {
	return Codec.custom<Word>({
		decode: value => Maybe.fromNullable(words.find(word => word === value)).toEither(`expected one of ${words.join(', ')}`),
		encode: string.encode,
	});
}
