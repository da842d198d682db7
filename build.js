// Bundles each program into one file, so that a sidecar loads only what it runs.
import {build} from 'esbuild';

const common = {
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	outdir: 'bundle',
	sourcemap: false,
	minify: true,
	banner: {js: 'import {createRequire} from \'node:module\';const require=createRequire(import.meta.url);'},
};

await build({...common, entryPoints: {entry: 'src/cli/entry.ts'}});
// Of undici the sidecar needs the pool alone; its index would load fetch, caches and sockets as well.
await build({...common, entryPoints: {sidecar: 'src/cli/sidecar.ts'}, alias: {undici: './pool.js'}});
