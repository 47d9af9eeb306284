import {
	parseFieldLine, parseList, removeOuterBlanks, type RawFields,
} from './field-lines.js';

/** How the length of a body is given: by a number, by chunks, or by the end of the connection. `none` stands for an answer that has no body. */
export type Framing = {readonly kind: 'length'; readonly length: number} | {readonly kind: 'chunked' | 'close' | 'none'};

/** The head of an answer. */
export type ResponseHead = {
	readonly status: number;
	/** Name, value, name, value, as received. */
	readonly headers: RawFields;
	readonly framing: Framing;
	/** Whether the server keeps the connection open after the answer. */
	readonly isKeptAlive: boolean;
	/** Idle timeout that the server states; undefined if it states none. */
	readonly maxIdleMs: number | undefined;
};

/** The values of all lines of the fields that give the length of a body, and the version. */
type FramingFields = {readonly lengths: readonly string[]; readonly codings: readonly string[]; readonly isVersion10: boolean};

const statusLine = /^HTTP\/1\.([01]) ([1-5]\d{2}) [\t\u0020-\u007E\u0080-\u00FF]*$/v;
const decimal = /^\d+$/v;
const leadingZeros = /^0+(?=\d)/v;
const firstFinalStatus = 200;
const statusSwitchingProtocols = 101;
const statusNoContent = 204;
const statusNotModified = 304;
const msPerSecond = 1000;

/** Whether another answer to the same request follows. */
export function isInterim(status: number): boolean {
	return status < firstFinalStatus;
}

/** Throws if a line without its line end is no status line (RFC 9112, section 4), or one that no answer to the node's requests has. */
export function parseStatusLine(line: string): {readonly status: number; readonly isVersion10: boolean} {
	const match = statusLine.exec(line);
	const status = Number(match?.[2]);
	if (match === null || status === statusSwitchingProtocols) {
		throw new Error('the status line of the answer is invalid');
	}

	return {status, isVersion10: match[1] === '0'};
}

/** Parses the head of an answer, without the empty line at its end, to a request with `method`. Throws if it is none. */
export function parseHead(text: string, method: string): ResponseHead {
	const [first = '', ...lines] = text.split('\r\n');
	const {status, isVersion10} = parseStatusLine(first);
	const headers: string[] = [];
	for (const line of lines) {
		const [name, value] = parseFieldLine(line);
		headers.push(name, value);
	}

	const list = (name: string): readonly string[] => listValues(headers, name);
	return {
		status,
		headers,
		framing: chooseFraming(status, method, {lengths: list('content-length'), codings: list('transfer-encoding'), isVersion10}),
		isKeptAlive: isKeptAlive(list('connection'), isVersion10),
		maxIdleMs: parseMaxIdle(list('keep-alive')),
	};
}

/** Lists the values of all lines of a field. */
function listValues(headers: RawFields, lowerCaseName: string): readonly string[] {
	const values: string[] = [];
	for (let index = 0; index + 1 < headers.length; index += 2) {
		const name = headers[index]!;
		if (name.length === lowerCaseName.length && name.toLowerCase() === lowerCaseName) {
			values.push(headers[index + 1]!);
		}
	}

	return values;
}

/** Follows RFC 9112, section 6.3. Throws if the fields are invalid or contradict each other, also where the answer has no body. */
function chooseFraming(status: number, method: string, {lengths, codings, isVersion10}: FramingFields): Framing {
	const length = parseLength(lengths);
	const isChunked = parseCoding(codings);
	if (isChunked && (isVersion10 || length !== undefined)) {
		throw new Error('the answer has a Transfer-Encoding and a Content-Length, or a Transfer-Encoding in version 1.0');
	}

	if (method === 'HEAD' || isInterim(status) || status === statusNoContent || status === statusNotModified) {
		return {kind: 'none'};
	}

	if (isChunked) {
		return {kind: 'chunked'};
	}

	return length === undefined ? {kind: 'close'} : {kind: 'length', length};
}

/** Returns the length that a Content-Length states, also if it repeats the same one; undefined without the field. */
function parseLength(values: readonly string[]): number | undefined {
	const lengths = new Set(values.flatMap(value => value.split(',')).map(text => removeOuterBlanks(text).replace(leadingZeros, '')));
	const [length] = lengths;
	if (length === undefined) {
		return undefined;
	}

	if (lengths.size > 1 || !decimal.test(length)) {
		throw new Error('the Content-Length of the answer is invalid');
	}

	return Number(length);
}

/** Returns whether the body is in chunks. Throws for another transfer coding, as no request asks for one, and for parameters, as `chunked` has none. */
function parseCoding(values: readonly string[]): boolean {
	if (values.length === 0) {
		return false;
	}

	const codings = parseList(values);
	if (codings.length !== 1 || codings[0]?.toLowerCase() !== 'chunked') {
		throw new Error('the Transfer-Encoding of the answer is invalid or was not asked for');
	}

	return true;
}

function isKeptAlive(connection: readonly string[], isVersion10: boolean): boolean {
	const options = new Set(parseList(connection).map(option => option.toLowerCase()));
	return !options.has('close') && (!isVersion10 || options.has('keep-alive'));
}

function parseMaxIdle(values: readonly string[]): number | undefined {
	const seconds = /timeout=(\d+)/v.exec(values.join(','))?.[1];
	return seconds === undefined ? undefined : Number(seconds) * msPerSecond;
}
