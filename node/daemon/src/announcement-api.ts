import type {BackendServer} from '@buckthornpoint/types/membership.js';
import {Hono} from 'hono';
import {
	boolean, Codec, number, string,
} from 'purify-ts';

const statusInvalid = 400;

const announcementCodec = Codec.interface({
	name: string, service: string, origin: string, slots: number, checksFence: boolean, incarnation: string, leaving: boolean,
});

/** Creates the HTTP interface on which the backend server beside the node announces itself. */
export function createAnnouncementApi(announce: (backendServer: BackendServer) => void): Hono {
	const app = new Hono();
	app.post('/v1/announcements', async context => {
		const decoded = announcementCodec.decode(await context.req.json());
		return decoded
			.map(backendServer => {
				announce(backendServer);
				return context.json({});
			})
			.mapLeft(message => context.json({code: 'ERR_DOCUMENT_TYPE', message}, statusInvalid))
			.extract();
	});
	return app;
}
