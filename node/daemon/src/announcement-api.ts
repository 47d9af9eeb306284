import type {HttpBindings} from '@hono/node-server';
import {backendServerCodec} from '@buckthornpoint/codecs/membership-codecs.js';
import {toResult} from '@buckthornpoint/documents/either.js';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {Hono, type Context} from 'hono';

const statusInvalid = 400;
const statusForbidden = 403;
const loopbackAddresses = /^(?:127\.|::1$|::ffff:127\.)/v;

type Environment = {Bindings: HttpBindings};

/** Creates the HTTP interface for announcements of the local backend server. Requests from other VMs are rejected. */
export function createAnnouncementApi(record: (backendServer: BackendServer) => void): Hono<Environment> {
	const app = new Hono<Environment>();
	app.post('/v1/announcements', async context => {
		if (!isFromThisVm(context)) {
			return context.json({code: 'ERR_NOT_AUTHORISED', message: 'announcements are accepted from this VM only'}, statusForbidden);
		}

		const decoded = toResult(backendServerCodec.decode(await readJson(context)));
		const problems = decoded.isOk() ? listProblems(decoded.value) : [decoded.error];
		if (decoded.isErr() || problems.length > 0) {
			return context.json({code: 'ERR_DOCUMENT_TYPE', message: problems.join('; ')}, statusInvalid);
		}

		record(decoded.value);
		return context.json({});
	});
	return app;
}

async function readJson(context: Context<Environment>): Promise<unknown> {
	try {
		return await context.req.json();
	} catch {
		return undefined;
	}
}

function listProblems(backendServer: BackendServer): readonly string[] {
	return [
		...(backendServer.name === '' ? ['name is empty'] : []),
		...(backendServer.service === '' ? ['service is empty'] : []),
		...(URL.canParse(backendServer.origin) ? [] : [`origin is not a URL: ${backendServer.origin}`]),
		...(Number.isInteger(backendServer.slots) && backendServer.slots > 0 ? [] : [`slots is not a positive whole number: ${backendServer.slots}`]),
		...(backendServer.incarnation === '' ? ['incarnation is empty'] : []),
	];
}

function isFromThisVm(context: Context<Environment>): boolean {
	const {remoteAddress, localAddress} = context.env.incoming.socket;
	return remoteAddress !== undefined && (loopbackAddresses.test(remoteAddress) || remoteAddress === localAddress);
}
