/**
 * The public API: the two daemons, their settings, the decision logic they use, the ports that a
 * platform implements, and the numbered results.
 */
export {Entry} from './entry/entry.js';
export {Sidecar} from './sidecar/sidecar.js';
export {
	entrySettings,
	sidecarSettings,
	platformSettings,
	schemas,
	type EntrySettings,
	type SidecarSettings,
	type PlatformSettings,
	type Route,
	type Pool,
	type Member,
	type ConfigTable,
} from './settings/schema.js';
export {loadSettings, checkSettings, SettingsError} from './settings/load.js';
export {
	results, resultOf, Failure, type Result, type ResultName, type Kind,
} from './results.js';
export {
	Schedule, usualPolicy, type Policy, type Job, type Verdict,
} from './decide/schedule/schedule.js';
export {Guard} from './decide/guard.js';
export {Dispatcher} from './ephemeral/dispatcher.js';
export {Driver} from './ephemeral/driver.js';
export type {Executor} from './ports/executor.js';
export type {Clock} from './ports/clock.js';
export type {Random} from './ports/random.js';
export {
	StoreError, type Table, type Row, type Check, type Change, type Transaction, type TransactionResult, type Query, type Listing,
} from './ports/table.js';
export type {ObjectStore} from './ports/objects.js';
export type {Backend, Run, Answer} from './ports/upstream.js';
export {Platform} from './standin/platform.js';
