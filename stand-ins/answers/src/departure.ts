/** What a caller got on the code before the strict reader: the bytes as an answer, none at once, or none as late as its deadline. */
export type EarlierResult = 'answer' | 'none' | 'late';

/** Bytes in place of an answer that are none by the grammar of RFC 9112 and RFC 9110. */
export type Departure = {
	readonly name: string;
	/** Formats the bytes, one byte a character. `fields` are legal field lines, each with its end, that every answer of the server has. */
	readonly format: (fields: string) => string;
	/** What a caller got when a backend server sent it. */
	readonly fromServer: EarlierResult;
	/** What the HTTP library returned, which read the answers of the store, of nodes and of the older daemon's servers. */
	readonly fromLibrary: EarlierResult;
	/** Whether only the end of the connection shows that the answer is broken. */
	readonly needsEnd?: boolean;
};

/** A row of a table of departures: the bytes stand for what is particular to the row. */
export type DepartureRow = readonly [name: string, bytes: string, fromServer: EarlierResult, fromLibrary: EarlierResult, needsEnd?: boolean];

/** Creates departures from the rows of a table. `createFormat` puts the bytes of a row into an answer. */
export function createDepartures(rows: readonly DepartureRow[], createFormat: (bytes: string) => (fields: string) => string): readonly Departure[] {
	return rows.map(([name, bytes, fromServer, fromLibrary, needsEnd = false]) => ({
		name, format: createFormat(bytes), fromServer, fromLibrary, needsEnd,
	}));
}
