import type {HttpBindings} from '@hono/node-server';
import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {Hono, type Context} from 'hono';
import {
	boolean, Codec, Left, number, Right, string, type Either,
} from 'purify-ts';

const statusInvalid = 400;
const statusForbidden = 403;
const loopbackAddresses = /^(?:127\.|::1$|::ffff:127\.)/v;

const announcementCodec = Codec.interface({
	name: string, service: string, origin: string, slots: number, checksFence: boolean, incarnation: string, leaving: boolean,
});

type Environment = {Bindings: HttpBindings};

/** Creates the HTTP interface on which the backend server beside the node announces itself. Only this VM may. */
export function createAnnouncementApi(record: (backendServer: BackendServer) => void): Hono<Environment> {
	const app = new Hono<Environment>();
	app.post('/v1/announcements', async context => {
		if (!isFromThisVm(context)) {
			return context.json({code: 'ERR_NOT_AUTHORISED', message: 'announcements are accepted from this VM only'}, statusForbidden);
		}

		const decoded = announcementCodec.decode(await readJson(context));
		return decoded
			.chain(backendServer => checkAnnouncement(backendServer))
			.map(backendServer => {
				record(backendServer);
				return context.json({});
			})
			.mapLeft(message => context.json({code: 'ERR_DOCUMENT_TYPE', message}, statusInvalid))
			.extract();
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

function checkAnnouncement(backendServer: BackendServer): Either<string, BackendServer> {
	const faults = [
		...(backendServer.name === '' ? ['name is empty'] : []),
		...(backendServer.service === '' ? ['service is empty'] : []),
		...(URL.canParse(backendServer.origin) ? [] : [`origin is not a URL: ${backendServer.origin}`]),
		...(Number.isInteger(backendServer.slots) && backendServer.slots > 0 ? [] : [`slots is not a positive whole number: ${backendServer.slots}`]),
		...(backendServer.incarnation === '' ? ['incarnation is empty'] : []),
	];
	return faults.length === 0 ? Right(backendServer) : Left(faults.join('; '));
}

function isFromThisVm(context: Context<Environment>): boolean {
	const {remoteAddress, localAddress} = context.env.incoming.socket;
	return remoteAddress !== undefined && (loopbackAddresses.test(remoteAddress) || remoteAddress === localAddress);
}
