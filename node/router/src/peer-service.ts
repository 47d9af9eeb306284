import type {ConnectRouter} from '@connectrpc/connect';
import type {Guard} from '@buckthornpoint/guard/guard.js';
import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {
	decodeOutcomeQuery, encodeOutcomeReport,
} from './peer-codec.js';

/** Registers the handler of outcome queries from other nodes. */
export function registerOutcomeCalls(connectRouter: ConnectRouter, guard: Guard): void {
	connectRouter.rpc(PeerService.method.findOutcome, async (message, context) =>
		encodeOutcomeReport(message.requestId, await guard.findOutcome(decodeOutcomeQuery(message), context.signal)));
}
