import {PeerService} from '@buckthornpoint/protocol/generated/buckthornpoint/v1/peer_pb.js';

/** Path of the Forward call, in the form that connect-es uses. */
export const forwardPath = `/${PeerService.typeName}/${PeerService.method.forward.name}`;

/** Content type of the Forward call, whose bodies are one message in the binary format of Protocol Buffers. */
export const forwardContentType = 'application/proto';
