/** Bytes that are an answer by the grammar of RFC 9112 and RFC 9110. */
export type LegalAnswer = {
	readonly name: string;
	/** Formats the bytes, one byte a character. `fields` are legal field lines, each with its end, that every answer of the server has. */
	readonly format: (fields: string) => string;
	readonly status: number;
	readonly body: string;
	/** Whether the server ends the connection after the answer. */
	readonly endsConnection: boolean;
};

type Row = readonly [name: string, bytes: string, expected?: {readonly status?: number; readonly body?: string; readonly endsConnection?: boolean}];

const ok = 'HTTP/1.1 200 OK\r\n';

function createAnswers(rows: readonly Row[], createFormat: (bytes: string) => (fields: string) => string): readonly LegalAnswer[] {
	return rows.map(([name, bytes, {status = 200, body = 'body', endsConnection = false} = {}]) => ({
		name, format: createFormat(bytes), status, body, endsConnection,
	}));
}

const statusLines = createAnswers([
	['no reason', 'HTTP/1.1 200 '],
	['a reason with a tab, blanks and bytes above ASCII', 'HTTP/1.1 200 \t caf\u00E9 '],
	['version 1.0', 'HTTP/1.0 200 OK', {endsConnection: true}],
	['a status that is not registered', 'HTTP/1.1 299 x', {status: 299}],
	['the highest status', 'HTTP/1.1 599 x', {status: 599}],
], bytes => fields => `${bytes}\r\n${fields}Content-Length: 4\r\n\r\nbody`);

const fieldLines = createAnswers([
	['an empty value', 'X-A:'],
	['a value of blanks', 'X-A: \t '],
	['blanks and tabs around a value', 'X-A:\t  b c\t \t'],
	['no blank before a value', 'X-A:b'],
	['bytes above ASCII in a value', 'X-A: \u0080\u00FF'],
	['a no-break space at the end of a value', 'X-A: b\u00A0'],
	['all characters of a name', '!#$%&\'*+-.^_`|~09azAZ: b'],
	['a colon in a value', 'X-A: b:c'],
	['a field twice', 'X-A: b\r\nX-A: c'],
	['a list of connection options', 'Connection: X-A , keep-alive\r\nX-A: b'],
], bytes => fields => `${ok}${fields}${bytes}\r\nContent-Length: 4\r\n\r\nbody`);

const lengths = createAnswers([
	['zeros before a length', 'Content-Length: 00000000000000000000000004'],
	['blanks and tabs around a length', 'Content-Length:\t 4 \t'],
	['the name of the length in another case', 'cONTENT-lENGTH: 4'],
	['a list of equal lengths', 'Content-Length: 4, 4'],
	['two lines with the same length', 'Content-Length: 4\r\nContent-Length: 4'],
	['no length, and the regular end of the connection', 'X-A: b', {endsConnection: true}],
	['no length, and Connection: close', 'Connection: close', {endsConnection: true}],
], bytes => fields => `${ok}${fields}${bytes}\r\n\r\nbody`);

const codings = createAnswers([
	['chunked', 'Transfer-Encoding: chunked'],
	['chunked in another case', 'transfer-ENCODING: Chunked'],
	['empty elements in a list of codings', 'Transfer-Encoding: , chunked ,'],
	['blanks and tabs around chunked', 'Transfer-Encoding:\t chunked \t'],
], bytes => fields => `${ok}${fields}${bytes}\r\n\r\n4\r\nbody\r\n0\r\n\r\n`);

const chunks = createAnswers([
	['several chunks', '1\r\nb\r\n2\r\nod\r\n1\r\ny\r\n0\r\n\r\n'],
	['sizes of hexadecimal digits in both cases', `a\r\n${'a'.repeat(10)}\r\nA\r\n${'b'.repeat(10)}\r\n0\r\n\r\n`, {body: `${'a'.repeat(10)}${'b'.repeat(10)}`}],
	['zeros before a size', '000000000000000000004\r\nbody\r\n0\r\n\r\n'],
	['several zeros as last chunk', '4\r\nbody\r\n0000\r\n\r\n'],
	['no chunk but the last', '0\r\n\r\n', {body: ''}],
	['line ends in a chunk', '6\r\n\r\n0\r\n\r\r\n0\r\n\r\n', {body: '\r\n0\r\n\r'}],
	['an extension', '4;a\r\nbody\r\n0\r\n\r\n'],
	['an extension with a value', '4;a=b\r\nbody\r\n0\r\n\r\n'],
	['blanks and tabs in an extension', '4 \t; a\t=\t b ;c\r\nbody\r\n0\r\n\r\n'],
	['a quoted extension', '4;a="b;c=\\"d\\\\ \te\u00E9"\r\nbody\r\n0\r\n\r\n'],
	['an empty quoted extension', '4;a=""\r\nbody\r\n0\r\n\r\n'],
	['extensions of the last chunk', '4\r\nbody\r\n0;a;b=c\r\n\r\n'],
	['a trailer', '4\r\nbody\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n'],
	['a trailer that names a length', '4\r\nbody\r\n0\r\nContent-Length: 9\r\n\r\n'],
], bytes => fields => `${ok}${fields}Transfer-Encoding: chunked\r\n\r\n${bytes}`);

const answers = createAnswers([
	['version 1.0 without a length', 'HTTP/1.0 200 OK\r\n*\r\nbody', {endsConnection: true}],
	['no length and no body', 'HTTP/1.1 200 OK\r\n*\r\n', {body: '', endsConnection: true}],
	['an interim answer', 'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbody'],
	['interim answers with fields', 'HTTP/1.1 102 \r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\nLink: </b>\r\n\r\nHTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbody'],
	['204', 'HTTP/1.1 204 No Content\r\n*\r\n', {status: 204, body: ''}],
	['304 with the length of the content that it leaves out', 'HTTP/1.1 304 Not Modified\r\n*Content-Length: 4\r\n\r\n', {status: 304, body: ''}],
	['304 with a transfer coding', 'HTTP/1.1 304 Not Modified\r\n*Transfer-Encoding: chunked\r\n\r\n', {status: 304, body: ''}],
	['a surplus answer', 'HTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra'],
	['the beginning of a surplus answer', 'HTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbodyHTT'],
	['a length of 0', 'HTTP/1.1 200 OK\r\n*Content-Length: 0\r\n\r\n', {body: ''}],
	['an end of the connection after the body', 'HTTP/1.1 200 OK\r\n*Connection: close\r\nContent-Length: 4\r\n\r\nbody', {endsConnection: true}],
], bytes => fields => bytes.replace('*', () => fields));

/** All legal answers. Their names are unique. */
export const legalAnswers: readonly LegalAnswer[] = [...statusLines, ...fieldLines, ...lengths, ...codings, ...chunks, ...answers];
