import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {LogSink} from '../adapters/log.js';
import type {LinkTraffic} from './link.js';

/** Upper bounds of the latency histograms, in seconds. */
const buckets = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

function counter<Label extends string>(registry: Registry, name: string, help: string, labelNames: Label[]): Counter<Label> {
	return new Counter({
		name: `sniperidge_${name}`, help, labelNames, registers: [registry],
	});
}

function gauge(registry: Registry, name: string, help: string, read: () => number): void {
	const made: Gauge = new Gauge({
		name: `sniperidge_${name}`, help, registers: [registry],
		collect() {
			made.set(read());
		},
	});
}

function countTraffic(registry: Registry, traffic: LinkTraffic): void {
	const made = new Counter<'direction' | 'peer'>({
		name: 'sniperidge_link_bytes_total', help: 'Bytes on links by direction and the role of the other side.', labelNames: ['direction', 'peer'], registers: [registry],
		collect() {
			made.reset();
			for (const [peer, bytes] of Object.entries(traffic)) {
				made.inc({direction: 'in', peer}, bytes.in);
				made.inc({direction: 'out', peer}, bytes.out);
			}
		},
	});
}

/** The metrics of an entry for jobs kept in memory. */
export class DispatcherMetrics {
	static create(): DispatcherMetrics {
		return new DispatcherMetrics();
	}

	readonly registry = new Registry();
	readonly jobs = counter(this.registry, 'jobs_total', 'Jobs by route and how they ended.', ['route', 'verdict']);
	readonly unsupportedJobs = counter(this.registry, 'jobs_unsupported_total', 'Jobs refused for a field that is not served.', ['field']);
	readonly shedJobs = counter(this.registry, 'jobs_shed_total', 'Jobs refused or dropped before they were decoded, by reason.', ['why']);
	readonly orders = counter(this.registry, 'orders_total', 'Starts, stops and wishes for room sent to sidecars.', ['kind']);
	readonly refusedOrders = counter(this.registry, 'orders_refused_total', 'Starts that sidecars refused, by reason.', ['why']);
	readonly movedRuns = counter(this.registry, 'runs_moved_total', 'Runs stopped to be started elsewhere because their worker leaves.', []);
	readonly endedRuns = counter(this.registry, 'runs_ended_total', 'Runs by how they ended.', ['outcome']);
	readonly crashCauses = counter(this.registry, 'crash_causes_total', 'Tasks that were found to crash their workers, by route.', ['route']);
	readonly quarantines = counter(this.registry, 'quarantines_total', 'Quarantines of routes that began or ended, by route and what changed.', ['route', 'change']);
	readonly linksLost = counter(this.registry, 'links_lost_total', 'Links to sidecars and entries that ended, by reason.', ['why']);
	readonly malformedMessages = counter(this.registry, 'messages_malformed_total', 'Messages that were not of the agreed form, by who sent them.', ['from']);
	readonly ignoredFigures = counter(this.registry, 'figures_ignored_total', 'Figures out of range that were left out of a report, by who sent it.', ['from']);
	readonly stateContradictions = counter(this.registry, 'desired_contradictions_total', 'Desired states of other entries that contradicted what was known, by what showed it.', ['by']);
	readonly storeCalls = counter(this.registry, 'store_calls_total', 'Calls to the platform\'s store by call and result.', ['call', 'result']);
	readonly jobLatency = new Histogram({
		name: 'sniperidge_job_seconds', help: 'Time from a job\'s arrival to its answer.', labelNames: ['route', 'verdict'], buckets, registers: [this.registry],
	});

	/** Registers the counter of the bytes on links, which is read at each scrape. */
	registerTraffic(traffic: LinkTraffic): void {
		countTraffic(this.registry, traffic);
	}

	/** Registers the gauges, which are read at each scrape. */
	registerGauges({
		sink, jobs, linked, open, asOf,
	}: {sink: LogSink; jobs(): number; linked(): number; open(): number; asOf(): number}): void {
		gauge(this.registry, 'jobs_under_way', 'Jobs under way.', jobs);
		gauge(this.registry, 'places_linked', 'Sidecars with a link.', linked);
		gauge(this.registry, 'places_open', 'Sidecars that may get work.', open);
		gauge(this.registry, 'desired_as_of', 'The store\'s version of the desired state in force.', asOf);
		gauge(this.registry, 'log_lines_dropped', 'Log lines dropped because the output was stuck.', () => sink.droppedLines);
	}
}

/** The metrics of a sidecar for the runs at its worker. */
export class DriverMetrics {
	static create(): DriverMetrics {
		return new DriverMetrics();
	}

	readonly registry = new Registry();
	readonly starts = counter(this.registry, 'starts_total', 'Orders to start sent to the worker.', []);
	readonly refusedRequests = counter(this.registry, 'asks_refused_total', 'Asks of entries that were refused, by reason.', ['why']);
	readonly offers = counter(this.registry, 'offers_total', 'Room offered to entries that wanted some.', []);
	readonly endedRuns = counter(this.registry, 'runs_ended_total', 'Runs by how they ended.', ['outcome']);
	readonly unansweredPolls = counter(this.registry, 'looks_unanswered_total', 'Looks at the worker without an answer.', []);
	readonly workerCrashes = counter(this.registry, 'worker_crashes_total', 'Crashes of the worker by what showed them.', ['sign']);
	readonly linksLost = counter(this.registry, 'links_lost_total', 'Links to entries that ended, by reason.', ['why']);
	readonly malformedMessages = counter(this.registry, 'messages_malformed_total', 'Messages that were not of the agreed form, by who sent them.', ['from']);
	readonly ignoredFigures = counter(this.registry, 'figures_ignored_total', 'Figures out of range that were left out of a report, by who sent it.', ['from']);
	readonly ignoredReports = counter(this.registry, 'reports_ignored_total', 'Reports of the worker that did not count, by reason.', ['why']);

	/** Registers the counter of the bytes on links, which is read at each scrape. */
	registerTraffic(traffic: LinkTraffic): void {
		countTraffic(this.registry, traffic);
	}

	/** Registers the gauges, which are read at each scrape. */
	registerGauges({sink, runs, linked}: {sink: LogSink; runs(): number; linked(): number}): void {
		gauge(this.registry, 'runs_held', 'Runs that hold room at the worker.', runs);
		gauge(this.registry, 'entries_linked', 'Entries with a link.', linked);
		gauge(this.registry, 'log_lines_dropped', 'Log lines dropped because the output was stuck.', () => sink.droppedLines);
	}
}
