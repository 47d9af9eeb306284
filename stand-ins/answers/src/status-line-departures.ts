import {createDepartures} from './departure.js';

/** Status lines, RFC 9112 section 4 and RFC 9110 section 15. */
const startLines = createDepartures([
	['the name of the protocol in lower case', 'http/1.1 200 OK', 'none', 'none'],
	['major version 2', 'HTTP/2.0 200 OK', 'none', 'answer'],
	['version 0.9', 'HTTP/0.9 200 OK', 'none', 'answer'],
	['a minor version of two digits', 'HTTP/1.10 200 OK', 'none', 'none'],
	['no minor version', 'HTTP/1. 200 OK', 'none', 'none'],
	['a comma in the version', 'HTTP/1,1 200 OK', 'none', 'none'],
	['a minor version that no specification defines', 'HTTP/1.7 200 OK', 'none', 'none'],
	['status 000', 'HTTP/1.1 000 OK', 'none', 'none'],
	['status 099', 'HTTP/1.1 099 OK', 'none', 'none'],
	['status 600', 'HTTP/1.1 600 OK', 'answer', 'answer'],
	['status 999', 'HTTP/1.1 999 OK', 'answer', 'answer'],
	['a status of two digits', 'HTTP/1.1 20 OK', 'none', 'none'],
	['a status of four digits', 'HTTP/1.1 2000 OK', 'none', 'none'],
	['a status with a sign', 'HTTP/1.1 +20 OK', 'none', 'none'],
	['a status with a letter', 'HTTP/1.1 2o0 OK', 'none', 'none'],
	['no status', 'HTTP/1.1', 'none', 'none'],
	['no space after the status', 'HTTP/1.1 200', 'answer', 'answer'],
	['two spaces before the status', 'HTTP/1.1  200 OK', 'none', 'none'],
	['a tab before the status', 'HTTP/1.1\t200 OK', 'none', 'none'],
	['a tab after the status', 'HTTP/1.1 200\tOK', 'none', 'none'],
	['a space before the version', ' HTTP/1.1 200 OK', 'none', 'none'],
	['an empty line before the status line', '\r\nHTTP/1.1 200 OK', 'none', 'answer'],
	['a byte before the status line', '\0HTTP/1.1 200 OK', 'none', 'none'],
	['a control byte in the reason', 'HTTP/1.1 200 O\u0001K', 'answer', 'answer'],
	['a DEL in the reason', 'HTTP/1.1 200 O\u007FK', 'answer', 'answer'],
	['a NUL in the reason', 'HTTP/1.1 200 O\0K', 'answer', 'answer'],
	['a bare CR in the reason', 'HTTP/1.1 200 O\rK', 'answer', 'none'],
	['a bare CR before the line end', 'HTTP/1.1 200 OK\r', 'answer', 'none'],
	['a line end of LF alone, so that the length is part of the reason', 'HTTP/1.1 200 OK\nContent-Length: 2', 'answer', 'none'],
	['status 101 without a request to switch', 'HTTP/1.1 101 Switching Protocols', 'none', 'none'],
], bytes => fields => `${bytes}\r\n${fields}Content-Length: 4\r\n\r\nbody`);

/** Answers with further status lines: statuses that are neither interim nor final. */
const answers = createDepartures([
	['status 000 without a body', 'HTTP/1.1 000 x\r\n*Content-Length: 0\r\n\r\n', 'late', 'none'],
	['status 000 before a legal answer', 'HTTP/1.1 000 x\r\n\r\nHTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbody', 'answer', 'none'],
	['status 101 before a legal answer', 'HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbody', 'answer', 'none'],
	['an interim answer with a broken status line', 'HTTP/1.1 100\tContinue\r\n\r\nHTTP/1.1 200 OK\r\n*Content-Length: 4\r\n\r\nbody', 'none', 'none'],
], bytes => fields => bytes.replace('*', () => fields));

/** Departures in status lines. */
export const statusLineDepartures = [...startLines, ...answers];
