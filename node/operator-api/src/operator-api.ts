import {applyCommand} from '@buckthornpoint/configuration/commands.js';
import {applyReleaseNote} from '@buckthornpoint/configuration/apply-note.js';
import {
	commandRequestCodec, createOperatorFailure, createRefusal, noteRequestCodec, type ChangeAnswer, type CommandRequest, type NoteRequest, type OperatorFailure,
} from '@buckthornpoint/configuration/operator-protocol.js';
import {parseReleaseNote} from '@buckthornpoint/configuration/release-note.js';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {toResult} from '@buckthornpoint/documents/either.js';
import {maxDocumentBytes} from '@buckthornpoint/documents/documents.js';
import type {ErrorCode} from '@buckthornpoint/errors/codes.js';
import type {Log} from '@buckthornpoint/log/log.js';
import type {CellStatus} from '@buckthornpoint/ownership/cell-status.js';
import type {OwnershipView} from '@buckthornpoint/ownership/ownership-view.js';
import type {TableStore} from '@buckthornpoint/table-store/table-store.js';
import type {ObservableValue} from '@buckthornpoint/tasks/observable-value.js';
import type {Configuration} from '@buckthornpoint/types/configuration.js';
import type {RoutingTable} from '@buckthornpoint/types/membership.js';
import {Hono, type Context} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {err, ResultAsync, type Result} from 'neverthrow';
import {isAuthorised} from './authorise.js';
import {commitChange, type CommitDependencies, type PlannedChange} from './commit-change.js';
import {findKeyExplanation} from './explain-key.js';
import {readStoredConfiguration} from './configuration-rows.js';
import {readHistory} from './history.js';

const prefix = '/v1/operator';
const maxBodyBytes = 4 * maxDocumentBytes;
const defaultHistoryLimit = 20;
const maxHistoryLimit = 200;

const statusInvalid = 400;
const statusByCode: ReadonlyMap<ErrorCode, number> = new Map([
	['ERR_NOT_AUTHORISED', 401],
	['ERR_NOT_FOUND', 404],
	['ERR_SERVICE_UNKNOWN', 404],
	['ERR_CONFIGURATION_CONFLICT', 409],
	['ERR_STORE_CONFLICT', 409],
	['ERR_WOULD_LEAVE_NO_BEARER', 409],
	['ERR_DOCUMENT_TOO_LARGE', 413],
	['ERR_STORE_UNAVAILABLE', 503],
	['ERR_STORE_OUTCOME_UNKNOWN', 504],
]);

/** Dependencies of the HTTP interface for operators. */
export type OperatorApiOpts = {
	readonly operatorKey: string;
	readonly store: TableStore;
	readonly clock: Clock;
	readonly log: Log;
	readonly configuration: ObservableValue<Configuration>;
	readonly routing: ObservableValue<RoutingTable>;
	readonly ownership: ObservableValue<OwnershipView>;
	readonly readStatus: () => CellStatus;
	/** Receives an accepted configuration, puts it in force on this node and distributes it to the cell. */
	readonly receiveConfiguration: (configuration: Configuration) => void;
};

/** Creates the HTTP interface for operators, under `/v1/operator`; docs/operators/interface.md describes it. */
export function createOperatorApi(opts: OperatorApiOpts): Hono {
	const app = new Hono();
	app.use(`${prefix}/*`, async (context, next) => {
		if (!isAuthorised(context.req.header('authorization'), opts.operatorKey)) {
			opts.log.write({
				event: 'operator-request', command: context.req.path, accepted: false, detail: 'the operator key is missing or wrong',
			});
			return replyFailure(createOperatorFailure('ERR_NOT_AUTHORISED', 'the operator key is missing or wrong'));
		}

		await next();
		return undefined;
	});
	app.use(`${prefix}/*`, bodyLimit({
		maxSize: maxBodyBytes,
		onError: () => replyFailure(createOperatorFailure('ERR_DOCUMENT_TOO_LARGE', `a request has at most ${maxBodyBytes} bytes`)),
	}));
	addChangeRoutes(app, opts);
	addQueryRoutes(app, opts);
	return app;
}

function addChangeRoutes(app: Hono, opts: OperatorApiOpts): void {
	const dependencies = createCommitDependencies(opts);
	app.post(`${prefix}/notes`, async context => {
		const planned = await readBody(context).andThen(body => decodeNote(body));
		return replyChange(planned, {opts, dependencies, path: context.req.path});
	});
	app.post(`${prefix}/commands`, async context => {
		const planned = await readBody(context).andThen(body => decodeCommand(body));
		return replyChange(planned, {opts, dependencies, path: context.req.path});
	});
}

function addQueryRoutes(app: Hono, opts: OperatorApiOpts): void {
	app.get(`${prefix}/status`, context => context.json({status: opts.readStatus(), configuration: opts.configuration.read()}));
	app.get(`${prefix}/explain`, context => {
		const explained = findKeyExplanation(context.req.query('service') ?? '', context.req.query('key') ?? '', {
			configuration: opts.configuration.read(), routing: opts.routing.read(), ownership: opts.ownership.read(), now: opts.clock.readTimestamp(),
		});
		return reply(explained);
	});
	app.get(`${prefix}/history`, async context => {
		const limit = Number(context.req.query('limit') ?? defaultHistoryLimit);
		const isValid = Number.isInteger(limit) && limit > 0 && limit <= maxHistoryLimit;
		if (!isValid) {
			return replyFailure(createOperatorFailure('ERR_USAGE', `"limit" is a whole number from 1 to ${maxHistoryLimit}`));
		}

		const history = await readStoredConfiguration(opts.store)
			.andThen(({configuration}) => readHistory(opts.store, {latest: configuration.version, limit}));
		return reply(history.map(entries => ({entries})));
	});
}

function createCommitDependencies(opts: OperatorApiOpts): CommitDependencies {
	return {
		store: opts.store,
		clock: opts.clock,
		listMembers: () => opts.readStatus().members,
		getVersion: () => opts.configuration.read().version,
		receiveConfiguration: opts.receiveConfiguration,
	};
}

function decodeNote(body: unknown): Result<PlannedChange, OperatorFailure> {
	return decodeBody<NoteRequest>(noteRequestCodec, body).andThen(request => parseReleaseNote(request.text, request.file)
		.map((parsed): PlannedChange => ({
			...request,
			summary: parsed.note.summary,
			note: request.text,
			baseVersion: parsed.note.baseVersion,
			apply: configuration => applyReleaseNote(configuration, parsed),
		}))
		.mapErr(findings => createRefusal(findings)));
}

function decodeCommand(body: unknown): Result<PlannedChange, OperatorFailure> {
	return decodeBody<CommandRequest>(commandRequestCodec, body).map(request => ({
		...request,
		summary: `${request.command.kind} ${request.command.name}`,
		apply: (configuration, members) => applyCommand(configuration, request.command, members),
	}));
}

function decodeBody<T>(codec: {readonly decode: (body: unknown) => Parameters<typeof toResult<string, T>>[0]}, body: unknown): Result<T, OperatorFailure> {
	return toResult(codec.decode(body)).mapErr(message => createOperatorFailure('ERR_USAGE', message));
}

function readBody(context: Context): ResultAsync<unknown, OperatorFailure> {
	return ResultAsync.fromPromise<unknown, OperatorFailure>(context.req.json(), () => createOperatorFailure('ERR_USAGE', 'the body is not JSON'));
}

type ReplyOpts = {
	readonly opts: OperatorApiOpts;
	readonly dependencies: CommitDependencies;
	readonly path: string;
};

async function replyChange(planned: Result<PlannedChange, OperatorFailure>, {opts, dependencies, path}: ReplyOpts): Promise<Response> {
	const outcome = planned.isOk() ? await commitChange(planned.value, dependencies) : err<ChangeAnswer, OperatorFailure>(planned.error);
	opts.log.write({
		event: 'operator-request',
		command: planned.isOk() ? planned.value.summary : path,
		accepted: outcome.isOk(),
		detail: outcome.match(({outcome: outcomeKind, version}) => `${outcomeKind}, version ${version}`, ({code}) => code),
	});
	return reply(outcome);
}

function reply(outcome: Result<Record<string, unknown>, OperatorFailure>): Response {
	return outcome.match(answer => Response.json(answer), failure => replyFailure(failure));
}

function replyFailure(failure: OperatorFailure): Response {
	return Response.json(failure, {status: getStatus(failure.code)});
}

function getStatus(code: ErrorCode): number {
	return statusByCode.get(code) ?? statusInvalid;
}
