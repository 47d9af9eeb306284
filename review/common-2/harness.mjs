/* eslint-disable no-await-in-loop, no-void, camelcase, unicorn/no-process-exit -- a script of its own: it plays steps one after the other, writes the names of the platform, and ends with an exit code */
// Stand-ins and helpers for the cases 6 to 10: the platform's store, backend servers, clients, and nodes as processes of their own.
// Everything listens on loopback addresses; a machine is a loopback address of its own.
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer as createHttpServer, request as sendHttp} from 'node:http';
import {createConnection, createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const root = path.join(path.dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Handles errors of connections that are closed anyway. */
const ignore = () => undefined;

const startMs = performance.now();
/** Seconds since the start of the script. */
export const readNow = () => (performance.now() - startMs) / 1000;

/** The record of a case: what was sent, answered and run. */
export class Record {
	#lines = [];
	#file;

	constructor(file) {
		this.#file = file;
	}

	add(text) {
		this.#lines.push(`${readNow().toFixed(3)} s  ${text}`);
	}

	write() {
		writeFileSync(this.#file, `${this.#lines.join('\n')}\n`);
	}
}

/** Returns a port that is free at an address. */
export async function findPort(host) {
	const server = createServer();
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});
	const {port} = server.address();
	await new Promise(resolve => {
		server.close(resolve);
	});
	return port;
}

/** The platform's store: rows, transactions and feeds, as PROTOCOL.md describes them. */
export class Store {
	rows = new Map();
	history = [];
	version = 0;
	/** While it is set, all calls of the nodes get 503. */
	isRefusing = false;
	#watchers = [];
	#server;

	constructor() {
		this.#server = createHttpServer({noDelay: true, keepAliveTimeout: 0}, (incoming, response) => {
			const chunks = [];
			incoming.on('data', chunk => chunks.push(chunk));
			incoming.on('end', () => {
				if (this.isRefusing) {
					response.writeHead(503, {'Content-Length': 2});
					response.end('{}');
					return;
				}

				setTimeout(() => this.#handle(incoming, response, Buffer.concat(chunks).toString()), 3);
			});
		});
	}

	async listen(host, port) {
		this.address = `${host}:${port}`;
		await new Promise(resolve => {
			this.#server.listen(port, host, resolve);
		});
	}

	/** Refuses all calls, and ends the open ones, until it is called with false. */
	setRefusing(isRefusing) {
		this.isRefusing = isRefusing;
		if (isRefusing) {
			this.#server.closeAllConnections();
		}
	}

	/** Writes a row of the operator. */
	putOperatorRow(key, value) {
		this.version++;
		this.#set({
			table: 'op', part: '', key, value: Buffer.from(JSON.stringify(value)).toString('base64'), ver: this.version,
		});
		this.#notify();
	}

	close() {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	#set(row) {
		const name = JSON.stringify([row.table, row.part, row.key]);
		if (row.is_deleted) {
			this.rows.delete(name);
		} else {
			this.rows.set(name, row);
		}

		this.history.push(row);
	}

	#notify() {
		const watchers = this.#watchers;
		this.#watchers = [];
		for (const notify of watchers) {
			notify();
		}
	}

	#reply(response, status, body) {
		const text = JSON.stringify({...body, ver: this.version, now_s: performance.now() / 1000});
		response.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(text)});
		response.end(text);
	}

	#handle(incoming, response, text) {
		const {pathname, searchParams} = new URL(incoming.url, 'http://store');
		const table = searchParams.get('table');
		switch (pathname) {
			case '/v1/rows-tx': {
				this.#commit(response, JSON.parse(text));

				break;
			}

			case '/v1/rows-get': {
				const from = searchParams.get('from') ?? '';
				const rows = [...this.rows.values()].filter(row => row.table === table && row.key >= from).toSorted((a, b) => a.key < b.key ? -1 : 1);
				this.#reply(response, 200, {rows: rows.slice(0, 500), has_more: rows.length > 500});

				break;
			}

			case '/v1/rows-feed': {
				this.#feed(response, table, Number(searchParams.get('after')), performance.now() + Number(searchParams.get('wait_ms')));

				break;
			}

			default: {
				this.#reply(response, 404, {});
			}
		}
	}

	#commit(response, {precondition = [], put = [], remove = []}) {
		const find = ({table, part, key}) => this.rows.get(JSON.stringify([table, part ?? '', key]));
		if (precondition.some(row => (find(row)?.ver ?? 0) !== row.ver)) {
			this.#reply(response, 412, {rows: precondition.flatMap(row => find(row) ?? [])});
			return;
		}

		this.version++;
		for (const {table, part, key, value} of put) {
			this.#set({
				table, part, key, value, ver: this.version,
			});
		}

		for (const {table, part, key} of remove) {
			this.#set({
				table, part, key, ver: this.version, is_deleted: true,
			});
		}

		this.#reply(response, 200, {});
		this.#notify();
	}

	#feed(response, table, after, endMs) {
		const rows = this.history.filter(row => row.table === table && row.ver > after);
		const leftMs = endMs - performance.now();
		if (rows.length > 0 || leftMs <= 0 || response.destroyed) {
			this.#reply(response, 200, {rows});
			return;
		}

		let isDone = false;
		const again = () => {
			if (!isDone) {
				isDone = true;
				clearTimeout(timer);
				this.#feed(response, table, after, endMs);
			}
		};

		const timer = setTimeout(again, leftMs);
		this.#watchers.push(again);
	}
}

/** Fills in the settings template of the deploy file, as DEPLOY.md describes; the fields that the template uses are plain values. */
function fillTemplate(fields, metricsPort) {
	const text = readFileSync(path.join(root, 'deploy', 'node.jsonc'), 'utf8');
	const findValue = name => {
		let value = fields;
		for (const part of name.split('.')) {
			value = value[part];
		}

		return value;
	};

	return text.replaceAll(/\{\{([\w.]+)\|json\}\}/gv, (_, name) => JSON.stringify(findValue(name)))
		.replace(/"metricsPort": \d+/v, `"metricsPort": ${metricsPort}`);
}

const bounds = {
	drain_s: 2, evacuate_s: 5, grace_s: 6, hold_max_s: 10, retry_budget_ratio: 0.2, retry_slack: 64,
};

const children = new Set();
// No node outlives the script, however it ends.
process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});

/** A machine: a node as a process of its own, started with the command of the deploy file, and the address of the backend server beside it. */
export class Machine {
	#folder;
	#settingsFile;
	#child;
	log = '';

	constructor({name, zone, host, service, store, record}) {
		Object.assign(this, {
			name, zone, host, service, store, record,
		});
		this.#folder = mkdtempSync(path.join(tmpdir(), 'review-'));
		this.#settingsFile = path.join(this.#folder, 'settings.jsonc');
	}

	async prepare() {
		const pick = async () => `${this.host}:${await findPort(this.host)}`;
		this.app = await pick();
		this.listen = {
			outbound: await pick(), inbound: await pick(), ready: await pick(), control: await pick(),
		};
		writeFileSync(this.#settingsFile, fillTemplate({
			node_name: this.name, zone: this.zone, service: this.service, app_addr: this.app, listen: this.listen,
			platform: {addr: this.store.address}, heartbeat_s: 1.5, bounds,
		}, await findPort(this.host)));
	}

	/** Starts the node. */
	start() {
		const [, command] = /run = "([^"]+)"/v.exec(readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8'));
		const [program, ...args] = command.replace('/etc/buckthornpoint/settings.toml', this.#settingsFile).split(' ');
		this.#child = spawn(program, args, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '/'}, stdio: ['ignore', 'pipe', 'pipe']});
		const child = this.#child;
		for (const stream of [child.stdout, child.stderr]) {
			stream.on('data', chunk => {
				this.log = (this.log + chunk).slice(-2_000_000);
			});
		}

		children.add(child);
		this.ended = new Promise(resolve => {
			child.on('exit', (code, signal) => {
				children.delete(child);
				this.record?.add(`the process of ${this.name} ended: ${signal ?? code}`);
				resolve(signal ?? code);
			});
		});
		this.record?.add(`${this.name}: process ${child.pid} started`);
	}

	get isRunning() {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	get pid() {
		return this.#child.pid;
	}

	signal(name) {
		this.record?.add(`${this.name}: ${name}`);
		this.#child.kill(name);
	}

	async isReady() {
		return new Promise(resolve => {
			const call = sendHttp(`http://${this.listen.ready}/v1/readyz`, {timeout: 500, agent: false}, response => {
				response.resume();
				resolve(response.statusCode === 200);
			});
			call.on('error', () => resolve(false));
			call.on('timeout', () => call.destroy());
			call.end();
		});
	}

	async close() {
		if (this.isRunning) {
			this.#child.kill('SIGKILL');
			await this.ended;
		}

		rmSync(this.#folder, {recursive: true, force: true});
	}
}

/**
 * A backend server. `handle(request, connection)` gets each request that it accepts: `{method, path, headers, body, id}`; it answers by
 * `connection.write`. It holds the keys that it is granted, if its service is divided by key.
 */
export class Backend {
	#server;
	#machine;
	#handle;
	#timer;
	#sequence = 0;
	#holds = [];
	#released = [];
	#connections = new Set();
	#isClosed = false;
	#hasLeft = false;
	born = Date.now();

	constructor(machine, {id, slots = 18, handle, isSharded = false, record}) {
		Object.assign(this, {
			id, slots, isSharded, record,
		});
		this.#machine = machine;
		this.#handle = handle;
		this.#server = createServer({noDelay: true}, socket => this.#serve(socket));
	}

	async start() {
		const [host, port] = this.#machine.app.split(':');
		await new Promise(resolve => {
			this.#server.listen(Number(port), host, resolve);
		});
		void this.#beat();
	}

	holdsKey(key) {
		return !this.isSharded || this.#holds.some(hold => hold.from <= key && key <= hold.to && performance.now() < hold.endMs);
	}

	close() {
		this.#isClosed = true;
		clearTimeout(this.#timer);
		this.#server.close();
		for (const socket of this.#connections) {
			socket.destroy();
		}
	}

	/** Announces that the server leaves, by a leave call. It sends no heartbeat after that and serves on. Returns whether it was acknowledged. */
	async deregister() {
		this.#hasLeft = true;
		clearTimeout(this.#timer);
		return await this.#call(`/v1/Instances.Deregister/${this.id}`, {born: this.born}) !== undefined;
	}

	/** Creates a heartbeat that is sent now and arrives when the returned function is called. */
	createLateBeat() {
		this.#sequence++;
		const beat = this.#encodeBeat([]);
		return () => this.#call(`/v1/Instances.Heartbeat/${this.id}`, beat);
	}

	#encodeBeat(released) {
		return {
			service: this.#machine.service, addr: this.#machine.app, zone: this.#machine.zone, version: 'v1', slots: this.slots, state: 'ready',
			cold_remaining_s: 0, seq: this.#sequence, born: this.born,
			...this.isSharded && {
				holds: this.#holds.filter(hold => performance.now() < hold.endMs).map(({from, to, fence}) => [from, to, fence]),
				released: released.map(({from, to, handover}) => [from, to, handover]),
			},
		};
	}

	async #beat() {
		const sentMs = performance.now();
		this.#sequence++;
		const released = this.#released;
		const answer = await this.#call(`/v1/Instances.Heartbeat/${this.id}`, this.#encodeBeat(released));
		if (answer !== undefined) {
			this.#released = this.#released.filter(row => !released.includes(row));
			if (answer.holds !== undefined) {
				const endMs = sentMs + (answer.hold_s * 1000);
				this.#holds = answer.holds.map(([from, to, fence]) => ({
					from, to, fence, endMs,
				}));
			}
		}

		if (!this.#isClosed && !this.#hasLeft) {
			this.#timer = setTimeout(() => void this.#beat(), answer === undefined ? 200 : 1500 - (performance.now() - sentMs));
		}
	}

	#call(path, body) {
		return new Promise(resolve => {
			const call = sendHttp(`http://${this.#machine.listen.control}${path}`, {
				method: 'POST', timeout: 1000, agent: false, headers: {'Content-Type': 'application/json'},
			}, response => {
				const chunks = [];
				response.on('data', chunk => chunks.push(chunk));
				response.on('end', () => resolve(response.statusCode === 200 ? JSON.parse(Buffer.concat(chunks).toString()) : undefined));
			});
			call.on('error', () => resolve(undefined));
			call.on('timeout', () => call.destroy());
			call.end(JSON.stringify(body));
		});
	}

	#serve(socket) {
		this.#connections.add(socket);
		let buffer = Buffer.alloc(0);
		socket.on('data', chunk => {
			buffer = Buffer.concat([buffer, chunk]);
			for (let request = readRequest(buffer); request !== undefined; request = readRequest(buffer)) {
				buffer = request.rest;
				this.#accept(request, socket);
			}
		});
		socket.on('error', ignore);
		socket.on('close', () => this.#connections.delete(socket));
	}

	#accept(request, socket) {
		const {headers} = request;
		const target = headers['buckthornpoint-target-instance'];
		const key = headers['buckthornpoint-shard-key'];
		if (request.id === undefined) {
			socket.write('HTTP/1.1 400 Bad Request\r\nBuckthornpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n');
		} else if ((target !== undefined && target !== this.id) || !this.holdsKey(Number(key))) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\nBuckthornpoint-Request-Id: ${request.id}\r\nBuckthornpoint-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n`);
		} else {
			this.#handle(request, socket, this);
		}
	}
}

/** Parses one request with a Content-Length, or none; undefined while it is incomplete. */
function readRequest(buffer) {
	const end = buffer.indexOf('\r\n\r\n');
	if (end === -1) {
		return undefined;
	}

	const [first, ...lines] = buffer.toString('latin1', 0, end).split('\r\n');
	const [method, path] = first.split(' ');
	const headers = {};
	for (const line of lines) {
		const colon = line.indexOf(':');
		headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim();
	}

	const length = Number(headers['content-length'] ?? 0);
	const bodyStart = end + 4;
	if (buffer.length < bodyStart + length) {
		return undefined;
	}

	return {
		method, path, headers, id: headers['buckthornpoint-request-id'], body: buffer.subarray(bodyStart, bodyStart + length), rest: buffer.subarray(bodyStart + length),
	};
}

/** Formats the head of an answer of a backend server. */
export function formatHead(id, fields = {}, status = '200 OK') {
	const lines = Object.entries({'Buckthornpoint-Request-Id': id, 'Buckthornpoint-Server-Seal': `seal-${id}`, ...fields}).map(([name, value]) => `${name}: ${value}\r\n`);
	return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n`;
}

/** Sends one request on a connection of its own and collects what is received until the connection ends or the answer is complete. */
export class Client {
	chunks = [];
	receivedBytes = 0;
	end = undefined;

	constructor(address, {method = 'GET', path, host, id, deadlineMs = 3000, body = '', headers = {}}) {
		const [ip, port] = address.split(':');
		this.id = id;
		this.socket = createConnection({host: ip, port: Number(port), noDelay: true});
		const lines = Object.entries({
			Host: host, 'Buckthornpoint-Request-Id': id, 'Buckthornpoint-Deadline-Ms': deadlineMs, ...(body.length > 0 || method !== 'GET') && {'Content-Length': Buffer.byteLength(body)}, ...headers,
		}).map(([name, value]) => `${name}: ${value}\r\n`);
		this.socket.write(`${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n${body}`);
		this.finished = new Promise(resolve => {
			const finish = end => {
				this.end ??= end;
				resolve(this);
			};

			this.socket.on('data', chunk => {
				this.chunks.push(chunk);
				this.receivedBytes += chunk.length;
				this.onData?.(this);
				if (this.isComplete) {
					finish('complete by its length');
					this.socket.destroy();
				}
			});
			this.socket.on('end', () => finish('regular end (FIN)'));
			this.socket.on('error', error => finish(`failed (${error.code})`));
			this.socket.on('close', () => finish('closed'));
		});
	}

	get head() {
		const text = Buffer.concat(this.chunks.slice(0, 4)).toString('latin1');
		const end = text.indexOf('\r\n\r\n');
		if (end === -1) {
			return undefined;
		}

		const [first, ...lines] = text.slice(0, end).split('\r\n');
		const headers = Object.fromEntries(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]));
		return {status: Number(first.split(' ')[1]), headers, bytes: end + 4};
	}

	get bodyBytes() {
		return this.head === undefined ? 0 : this.receivedBytes - this.head.bytes;
	}

	get isComplete() {
		const length = this.head?.headers['content-length'];
		return length !== undefined && this.bodyBytes >= Number(length);
	}

	get body() {
		return Buffer.concat(this.chunks).subarray(this.head?.bytes ?? 0);
	}
}

/** Creates the operator's configuration from routes `{name, host, prefix, service, kind}` and services `{name, isSharded}`. */
export function createConfiguration(version, routes, services) {
	return {
		version: `r${version}`,
		resources: [
			...routes.map(({name, host, prefix, service, kind, timeout = 4}) => ({
				resource_type: 'routes', metadata: {name},
				spec: {
					host, prefix, route_kind: kind, timeout_s: timeout, target_latency_s: 0.6, priority: 1, service, max_attempts: 2,
				},
			})),
			...services.map(({name, isSharded = false}) => ({
				resource_type: 'services', metadata: {name},
				spec: {
					health_path: '/healthz', max_conns: 100, protocol: 'h1', tls: false, cold_start_s: 3, cold_per_s: 24, ...isSharded && {is_sharded: true, warmup_s: 3, grants: 'heartbeat'},
				},
			})),
			{
				resource_type: 'limits', metadata: {}, spec: {
					header_bytes: 16_384, body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15,
				},
			},
		],
	};
}

/** Runs a case: `check` returns true if the rule held. Ends with 1 if it was broken, 2 if the case could not run. */
export async function runCase(folder, play) {
	const record = new Record(path.join(folder, 'record.txt'));
	const parts = [];
	let code = 2;
	const limit = setTimeout(() => {
		record.add('the case took too long');
		record.write();
		process.exit(2);
	}, 110_000);
	try {
		const isKept = await play({
			record, hasTrouble: process.env.TROUBLE !== '0', add(part) {
				parts.push(part);
				return part;
			},
		});
		code = isKept === undefined ? 2 : (isKept ? 0 : 1);
		record.add(['the rule held', 'THE RULE WAS BROKEN', 'the case could not run'][code]);
	} catch (error) {
		record.add(`the case could not run: ${error.stack}`);
	}

	for (const part of parts.toReversed()) {
		await part.close();
	}

	clearTimeout(limit);
	record.write();
	process.exit(code);
}

let nextHost = 1;
const block = 1 + Math.floor(Math.random() * 250);

/** Returns a loopback address that no other machine of this script has. */
export function createHost() {
	return `127.${90 + (block % 100)}.${block}.${nextHost++}`;
}

/** Waits until a condition holds; throws if it doesn't in time. */
export async function waitUntil(what, condition, timeoutMs = 20_000) {
	const endMs = performance.now() + timeoutMs;
	while (!await condition()) {
		if (performance.now() > endMs) {
			throw new Error(`waited too long until ${what}`);
		}

		await sleep(50);
	}
}
