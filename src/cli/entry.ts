/**
 * The entry as a program of its own, for the bundle: `node entry.js SETTINGS`. It loads no command line.
 */
import process from 'node:process';
import {loadSettings, readSecret} from '../settings/load.js';
import {entrySettings} from '../settings/schema.js';
import {runEntry} from './run.js';

const settings = loadSettings(entrySettings, process.argv[2] ?? 'entry.json');
process.exitCode = await runEntry(settings, readSecret(settings.operatorTokenFile, 'SNIPERIDGE_OPERATOR_TOKEN'));
