import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';

/** Path of the Forward call, as connect-es would name it. */
export const forwardPath = `/${PeerService.typeName}/${PeerService.method.forward.name}`;

/** Type of the bodies of the Forward call: one message in protobuf's binary form. */
export const forwardContentType = 'application/proto';
