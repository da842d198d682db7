import {
	copyFileSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {pathToFileURL} from 'node:url';
import {Script} from 'node:vm';
import test from 'ava';

const source = 'exports.start = async cached => { globalThis.startedWith = cached; };';
const wrapped = `(function (exports, require, module) {${source}\n})`;

for (const [title, cache, expected] of [
	['with compiled code of its own', () => new Script(wrapped).createCachedData(), true],
	['without compiled code', () => undefined, false],
	['with compiled code of another program', () => new Script(`${wrapped} `).createCachedData(), false],
	['with compiled code that is cut off', () => new Script(wrapped).createCachedData().subarray(0, 20), false],
] as const) {
	test.serial(`load: a program starts ${title}`, async t => {
		const folder = mkdtempSync(join(tmpdir(), 'sniperidge-load-'));
		t.teardown(() => {
			rmSync(folder, {recursive: true});
		});
		copyFileSync('platform/load.js', join(folder, 'program.mjs'));
		copyFileSync('platform/script.js', join(folder, 'script.js'));
		writeFileSync(join(folder, 'package.json'), '{"type": "module"}');
		writeFileSync(join(folder, 'program.cjs'), source);
		const data = cache();
		if (data) {
			writeFileSync(join(folder, 'program.cache'), data);
		}

		await import(pathToFileURL(join(folder, 'program.mjs')).href);
		t.is((globalThis as {startedWith?: boolean}).startedWith, expected);
	});
}
