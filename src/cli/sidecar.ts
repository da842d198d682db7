/**
 * The sidecar as a program of its own, for the bundle: `node sidecar.js SETTINGS`. It loads no command line.
 */
import process from 'node:process';
import {loadSettings} from '../settings/load.js';
import {sidecarSettings} from '../settings/schema.js';
import {runSidecar} from './run.js';

const settings = loadSettings(sidecarSettings, process.argv[2] ?? 'sidecar.json');
process.exitCode = await runSidecar(settings);
