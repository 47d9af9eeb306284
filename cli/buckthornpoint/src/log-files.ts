import {createReadStream} from 'node:fs';
import {readdir, stat} from 'node:fs/promises';
import path from 'node:path';
import process from 'node:process';

/** Returns the path itself if it is a file, or the `.log` files in it if it is a folder. */
export async function listLogFiles(name: string): Promise<readonly string[]> {
	const found = await stat(name);
	if (!found.isDirectory()) {
		return [name];
	}

	const names = await readdir(name);
	return names.filter(entry => entry.endsWith('.log')).toSorted().map(entry => path.join(name, entry));
}

/** Reads a file, or standard input if the name is `-`, as UTF-8 in chunks. */
export async function * readChunks(name: string): AsyncGenerator<string> {
	const stream = name === '-' ? process.stdin.setEncoding('utf8') : createReadStream(name, 'utf8');
	for await (const chunk of stream) {
		yield String(chunk);
	}
}
