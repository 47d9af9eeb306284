import {chunkDepartures} from './chunk-departures.js';
import {createDepartures, type Departure} from './departure.js';
import {statusLineDepartures} from './status-line-departures.js';

const ok = 'HTTP/1.1 200 OK\r\n';

/** Field lines, RFC 9112 section 5 and RFC 9110 section 5. */
const fieldLines = createDepartures([
	['a line without a colon', 'no field', 'none', 'none'],
	['an empty name', ': b', 'none', 'none'],
	['a blank in a name', 'X A: b', 'none', 'none'],
	['a blank after a name', 'X-A : b', 'none', 'none'],
	['a tab after a name', 'X-A\t: b', 'none', 'none'],
	['a control byte in a name', 'X\u0001A: b', 'none', 'none'],
	['a control byte at the end of a name', 'X-A\u0001: b', 'none', 'none'],
	['a DEL in a name', 'X\u007FA: b', 'none', 'none'],
	['a NUL in a name', 'X\0A: b', 'none', 'none'],
	['a byte above ASCII in a name', 'X\u00E9A: b', 'none', 'none'],
	['a parenthesis in a name', 'X(A: b', 'none', 'none'],
	['a quote in a name', 'X"A: b', 'none', 'none'],
	['a slash in a name', 'X/A: b', 'none', 'none'],
	['a line that begins with a blank', ' X-A: b', 'none', 'none'],
	['a folded line', 'X-A: b\r\n c', 'none', 'none'],
	['a folded line with a colon', 'X-A: b\r\n\tc: d', 'none', 'none'],
	['a control byte in a value', 'X-A: b\u0001c', 'none', 'none'],
	['a NUL in a value', 'X-A: b\0c', 'none', 'none'],
	['a DEL in a value', 'X-A: b\u007Fc', 'none', 'none'],
	['a bare CR in a value', 'X-A: b\rc', 'none', 'none'],
	['a bare CR at the end of a value', 'X-A: b\r', 'answer', 'none'],
	['a bare CR at the start of a value', 'X-A: \rb', 'answer', 'none'],
	['a bare LF in a value', 'X-A: b\nX-B: c', 'none', 'none'],
	['a bare LF at the end of a value', 'X-A: b\n', 'answer', 'none'],
	['a bare LF at the start of a value', 'X-A: \nb', 'answer', 'none'],
	['a vertical tab at the end of a value', 'X-A: b\u000B', 'answer', 'none'],
	['a form feed at the start of a value', 'X-A: \u000Cb', 'answer', 'none'],
], bytes => fields => `${ok}${fields}${bytes}\r\nContent-Length: 4\r\n\r\nbody`);

/** Lengths of the body, RFC 9112 section 6 and RFC 9110 section 8.6. */
const lengths = createDepartures([
	['an empty length', 'Content-Length:', 'none', 'none'],
	['a length with a sign', 'Content-Length: +4', 'none', 'none'],
	['a negative length', 'Content-Length: -4', 'none', 'none'],
	['a fraction as length', 'Content-Length: 4.0', 'none', 'none'],
	['a hexadecimal length', 'Content-Length: 0x4', 'none', 'none'],
	['a length with a letter', 'Content-Length: 4b', 'none', 'none'],
	['a blank in a length', 'Content-Length: 4 4', 'none', 'none'],
	['a quoted length', 'Content-Length: "4"', 'none', 'none'],
	['a length with a comma after it', 'Content-Length: 4,', 'none', 'none'],
	['a list of different lengths', 'Content-Length: 4, 3', 'none', 'none'],
	['two lines with different lengths, the short one last', 'Content-Length: 4\r\nContent-Length: 3', 'answer', 'none'],
	['two lines with different lengths, the short one first', 'Content-Length: 3\r\nContent-Length: 4', 'answer', 'none'],
	['a second line with an invalid length', 'Content-Length: x\r\nContent-Length: 4', 'answer', 'none'],
	['a vertical tab before a length', 'Content-Length: \u000B3', 'answer', 'none'],
	['a no-break space after a length', 'Content-Length: 3\u00A0', 'answer', 'none'],
	['a bare LF after a length', 'Content-Length: 3\n', 'answer', 'none'],
	['a blank in the name of the length', 'Content- Length: 4', 'none', 'none'],
	['a blank after the name of the length', 'Content-Length : 4', 'none', 'none'],
	['a length that is shorter than the body', 'Content-Length: 2', 'answer', 'answer'],
	['a length beyond every limit', 'Content-Length: 99999999999999999999', 'none', 'none'],
	['an unknown transfer coding', 'Transfer-Encoding: xchunked', 'none', 'answer'],
	['an empty transfer coding', 'Transfer-Encoding:', 'none', 'answer'],
	['the coding identity, which no longer exists', 'Transfer-Encoding: identity', 'none', 'answer'],
	['a quoted transfer coding', 'Transfer-Encoding: "chunked"', 'none', 'answer'],
	['a transfer coding that was not asked for', 'Transfer-Encoding: gzip', 'none', 'answer'],
], bytes => fields => `${ok}${fields}${bytes}\r\n\r\nbody`);

/** How chunked bodies are announced. */
const codings = createDepartures([
	['a length and chunks', 'Content-Length: 4\r\nTransfer-Encoding: chunked', 'none', 'none'],
	['chunks and a length', 'Transfer-Encoding: chunked\r\nContent-Length: 4', 'none', 'none'],
	['a coding that was not asked for before chunked', 'Transfer-Encoding: gzip, chunked', 'none', 'answer'],
	['a coding that was not asked for in a line before chunked', 'Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked', 'answer', 'answer'],
	['chunked before another coding', 'Transfer-Encoding: chunked, gzip', 'none', 'answer'],
	['chunked twice', 'Transfer-Encoding: chunked, chunked', 'none', 'answer'],
	['chunked in two lines', 'Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked', 'answer', 'answer'],
	['a parameter of chunked', 'Transfer-Encoding: chunked;a=b', 'none', 'answer'],
	['a vertical tab after chunked', 'Transfer-Encoding: chunked\u000B', 'answer', 'none'],
], bytes => fields => `${ok}${fields}${bytes}\r\n\r\n4\r\nbody\r\n0\r\n\r\n`);

/** Whole answers: other versions, interim answers, ends. */
const wholeAnswers = createDepartures([
	['chunks in an answer of version 1.0', 'HTTP/1.0 200 OK\r\n*Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n', 'answer', 'answer'],
	['a blank between the status line and the first field', 'HTTP/1.1 200 OK\r\n X-A: b\r\n*Content-Length: 4\r\n\r\nbody', 'none', 'none'],
	['an interim answer with a line that is no field', 'HTTP/1.1 103 Early Hints\r\nno field\r\n\r\nHTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbody', 'none', 'none'],
	['a status without content that has a body', 'HTTP/1.1 204 No Content\r\n*\r\nbody', 'answer', 'answer'],
	['an empty line after the body', 'HTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbody\r\n', 'answer', 'answer'],
	['bytes after the last chunk', 'HTTP/1.1 200 OK\r\n*Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\nbody', 'answer', 'answer'],
	['a status without content that has an invalid length', 'HTTP/1.1 204 No Content\r\n*Content-Length: x\r\n\r\n', 'answer', 'none'],
	['a head that ends with LF alone', 'HTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\nbody', 'late', 'none'],
	['a head of lines with LF alone', 'HTTP/1.1 200 OK\nContent-Length: 4\n\nbody', 'late', 'none'],
	['an interim answer and no final one', 'HTTP/1.1 100 Continue\r\n\r\n', 'none', 'none', true],
	['a status line that breaks off', 'HTTP/1.1 200 O', 'none', 'none', true],
	['a head that breaks off after the status line', 'HTTP/1.1 200 OK\r\n', 'none', 'none', true],
	['a head that breaks off after a field', 'HTTP/1.1 200 OK\r\n*', 'none', 'none', true],
	['a head that breaks off within its end', 'HTTP/1.1 200 OK\r\n*\r', 'none', 'none', true],
	['a body that is shorter than its length', 'HTTP/1.1 200 OK\r\n*Content-Length: 5\r\n\r\nbody', 'none', 'none', true],
	['a body that is shorter than its length, on a connection that closes', 'HTTP/1.1 200 OK\r\n*Connection: close\r\nContent-Length: 5\r\n\r\nbody', 'none', 'none', true],
	['no bytes', '', 'none', 'none', true],
], bytes => fields => bytes.replace('*', () => fields));

/** All departures. Their names are unique. */
export const departures: readonly Departure[] = [...statusLineDepartures, ...fieldLines, ...lengths, ...codings, ...chunkDepartures, ...wholeAnswers];
