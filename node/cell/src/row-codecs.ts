import {mapCodec, memberCodec} from '@buckthornpoint/codecs/membership-codecs.js';
import type {RecordDecoder} from '@buckthornpoint/codecs/record-decoder.js';
import type {CellRecord, LeaseRecord} from '@buckthornpoint/ownership/records.js';
import {
	array, boolean, Codec, number, optional, string,
} from 'purify-ts';

/** Decodes the row `leases/<cell>`, which records the lease of the controller. */
export const leaseCodec: RecordDecoder<LeaseRecord> = Codec.interface({
	epoch: number,
	controller: Codec.interface({vmId: string, incarnation: string}),
	peerOrigin: string,
	renewal: number,
	authorityMs: number,
	resigned: optional(boolean),
});

/** Decodes the row `cells/<cell>`, which records the members and the map of the cell. */
export const cellCodec: RecordDecoder<CellRecord> = Codec.interface({members: array(memberCodec), map: mapCodec, epoch: number});
