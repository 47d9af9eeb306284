import type {ServerResponse} from 'node:http';
import {RESPONSE_ALREADY_SENT} from '@hono/node-server/utils/response';
import type {Clock} from '@buckthornpoint/clock/clock.js';
import {Hono, type Context} from 'hono';
import {decodeFaults, type BackendServerFaults} from './faults.js';
import {LoadReport} from './load-report.js';
import type {Worker, WorkRequest} from './worker.js';

const statusOk = 200;
const statusBadRequest = 400;
const statusUnavailable = 503;
const statusDeadlineExceeded = 504;
const requestIdHeader = 'buckthornpoint-request-id';

type Bindings = {readonly outgoing: ServerResponse};
type ServerContext = Context<{readonly Bindings: Bindings}>;

/** Options of the HTTP interface. */
export type ServerApiOpts = {
	readonly name: string;
	readonly worker: Worker;
	readonly clock: Clock;
	readonly setFaults: (faults: Partial<BackendServerFaults>) => Promise<void>;
	readonly replaceProcess: () => Promise<void>;
};

type Answer = {
	readonly requestId: string;
	readonly body: string;
};

/** Creates the HTTP interface of the stand-in: control endpoints under `/buckthornpoint/`; every other request is work. */
export function createServerApi(opts: ServerApiOpts): Hono<{Bindings: Bindings}> {
	const app = new Hono<{Bindings: Bindings}>();
	addReports(app, opts);
	addControls(app, opts);
	const previous: {answer: Answer | undefined} = {answer: undefined};
	app.all('/*', async context => {
		const body = await context.req.text();
		const request = parseWorkRequest(context);
		const result = await opts.worker.run(request, context.req.raw.signal);
		if (result === 'cancelled' || result === 'deadline-exceeded') {
			return context.json({error: result}, statusDeadlineExceeded, {[requestIdHeader]: request.requestId});
		}

		if (result !== 'finished') {
			return context.json({error: result}, statusUnavailable, {'buckthornpoint-refused': result, [requestIdHeader]: request.requestId});
		}

		const answer: Answer = {requestId: request.requestId, body: JSON.stringify({server: opts.name, path: context.req.path, body})};
		const earlier = previous.answer ?? answer;
		previous.answer = answer;
		await opts.worker.waitForAnswerDelay();
		return reply(context, opts.worker, opts.worker.mustInjectFault(opts.worker.faults.crossAnswers) ? earlier : answer);
	});
	return app;
}

function addReports(app: Hono<{Bindings: Bindings}>, {worker, clock}: ServerApiOpts): void {
	const report = new LoadReport(clock, worker);
	app.get('/buckthornpoint/load', async context => {
		await worker.waitWhileFrozen();
		return context.json(report.refresh());
	});
	app.get('/buckthornpoint/health', async context => {
		await worker.waitWhileFrozen();
		return context.json({status: worker.faults.leaving ? 'leaving' : 'healthy'});
	});
}

function addControls(app: Hono<{Bindings: Bindings}>, {worker, setFaults, replaceProcess}: ServerApiOpts): void {
	app.get('/buckthornpoint/runs', context => context.json(Object.fromEntries(worker.runs.listRuns())));
	app.get('/buckthornpoint/runs/:requestId', context => context.json({runs: worker.runs.countRuns(context.req.param('requestId'))}));
	app.get('/buckthornpoint/counts', context => context.json(worker.counts));
	app.get('/buckthornpoint/faults', context => context.json(worker.faults));
	app.put('/buckthornpoint/faults', async context => {
		const decoded = decodeFaults(await readDocument(context));
		if (decoded.isLeft()) {
			return context.json({code: 'ERR_DOCUMENT_TYPE', message: decoded.extract()}, statusBadRequest);
		}

		await setFaults(decoded.unsafeCoerce());
		return context.json(worker.faults);
	});
	app.post('/buckthornpoint/cold', context => {
		worker.setCold();
		return context.json(worker.load);
	});
	app.post('/buckthornpoint/restart', async context => {
		const replaced = replaceProcess();
		replaced.catch(() => {
			// Errors can't be reported: the restart also closes the connection of this request.
		});
		return context.json({});
	});
}

async function readDocument(context: ServerContext): Promise<unknown> {
	try {
		return await context.req.json<unknown>();
	} catch {
		return undefined;
	}
}

function parseWorkRequest(context: ServerContext): WorkRequest {
	const deadline = context.req.header('buckthornpoint-deadline-ms');
	return {
		requestId: context.req.header(requestIdHeader) ?? '',
		partition: `${context.req.header('buckthornpoint-service') ?? ''}/${context.req.header('buckthornpoint-partition') ?? ''}`,
		fence: context.req.header('buckthornpoint-fence'),
		remainingMs: deadline === undefined ? undefined : Number(deadline),
	};
}

async function reply(context: ServerContext, worker: Worker, answer: Answer): Promise<Response> {
	const {outgoing} = context.env;
	if (worker.mustInjectFault(worker.faults.loseAnswers)) {
		outgoing.destroy();
		return RESPONSE_ALREADY_SENT;
	}

	if (worker.mustInjectFault(worker.faults.silenceAnswers)) {
		await new Promise(() => {
			// Never resolves: the answer is not sent.
		});
	}

	if (worker.mustInjectFault(worker.faults.cutAnswers)) {
		sendTruncated(outgoing, answer);
		return RESPONSE_ALREADY_SENT;
	}

	return context.body(answer.body, statusOk, {'content-type': 'application/json', [requestIdHeader]: answer.requestId});
}

function sendTruncated(outgoing: ServerResponse, answer: Answer): void {
	outgoing.writeHead(statusOk, {'content-type': 'application/json', 'content-length': answer.body.length, [requestIdHeader]: answer.requestId});
	outgoing.write(answer.body.slice(0, Math.floor(answer.body.length / 2)), () => {
		outgoing.destroy();
	});
}
