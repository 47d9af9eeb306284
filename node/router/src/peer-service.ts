import type {ConnectRouter} from '@connectrpc/connect';
import type {Guard} from '@buckthornpoint/guard/guard.js';
import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';
import {
	decodeQuestion, decodeRequest, encodeReport, encodeResult,
} from './convert.js';

/** Registers the calls that other nodes make for callers' requests. */
export function registerRequestCalls(connectRouter: ConnectRouter, guard: Guard): void {
	connectRouter.rpc(PeerService.method.forward, async (message, context) => {
		const routed = decodeRequest(message);
		return encodeResult(routed.isOk() ? await guard.handle(routed.value, context.signal) : routed.error);
	});
	connectRouter.rpc(PeerService.method.findOutcome, async (message, context) =>
		encodeReport(message.requestId, await guard.findOutcome(decodeQuestion(message), context.signal)));
}
