import assert from 'node:assert/strict';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

/** Compares a session with its golden file, or writes the file if UPDATE_GOLDEN is `yes`. */
export function checkGoldenFile(name: string, session: string): void {
	const file = new URL(`../../golden/${name}`, import.meta.url);
	if (process.env.UPDATE_GOLDEN === 'yes' || !existsSync(file)) {
		assert.equal(process.env.UPDATE_GOLDEN, 'yes', `the golden file ${name} is missing; write it with UPDATE_GOLDEN=yes`);
		writeFileSync(file, session);
	}

	assert.equal(session, readFileSync(file, 'utf8'));
}
