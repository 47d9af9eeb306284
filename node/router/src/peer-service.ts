import type {ConnectRouter} from '@connectrpc/connect';
import type {Guard} from '@buckthornpoint/guard/guard.js';
import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {
	decodeQuestion, encodeReport,
} from './peer-codec.js';

/** Registers the question for the outcome of a request. */
export function registerOutcomeCalls(connectRouter: ConnectRouter, guard: Guard): void {
	connectRouter.rpc(PeerService.method.findOutcome, async (message, context) =>
		encodeReport(message.requestId, await guard.findOutcome(decodeQuestion(message), context.signal)));
}
