import {Counter, Gauge, Registry} from 'prom-client';
import type {BatchWriter} from '../adapters/batch-writer.js';
import type {TaskDispatcher} from './task-dispatcher.js';
import type {TableWatcher} from './table-watcher.js';
import type {JobService} from './jobs.js';
import type {SidecarDirectory} from './sidecar-directory.js';

/** What the gauges read. */
export type Dependencies = {watcher: TableWatcher; jobs: JobService; dispatcher: TaskDispatcher; directory: SidecarDirectory; batch: BatchWriter};

/** The metrics of an entry in the Prometheus text format. */
export class EntryMetrics {
	static create(): EntryMetrics {
		return new EntryMetrics();
	}

	private readonly registry = new Registry();
	private readonly results = new Counter({
		name: 'sniperidge_requests_total',
		help: 'Jobs and requests by route, member and result.',
		labelNames: ['route', 'member', 'result'],
		registers: [this.registry],
	});

	private readonly responses = new Counter({
		name: 'sniperidge_responses_total', help: 'Responses by path and result.', labelNames: ['path', 'result'], registers: [this.registry],
	});

	/** The media type of the text. */
	get contentType(): string {
		return this.registry.contentType;
	}

	/** Resolves to all metrics as text. */
	async text(): Promise<string> {
		return this.registry.metrics();
	}

	/** Counts the result of a job or request. */
	countResult(route: string, member: string, code: number): void {
		this.results.inc({route, member, result: String(code)});
	}

	/** Counts a response. */
	countResponse(path: string, result: string): void {
		this.responses.inc({path, result});
	}

	/** Registers the gauges, which are read from their sources at every scrape. */
	registerGauges({watcher, jobs, dispatcher, directory, batch}: Dependencies): void {
		this.gauge('sniperidge_dispatch_total', 'What the dispatcher did.', () => Object.entries(dispatcher.counts), 'event');
		this.gauge('sniperidge_place_running', 'Tasks of this entry by place.', () => [...directory.places.values()].map(place => [place.id, place.inFlight]), 'place');
		this.gauge('sniperidge_place_slots', 'Slots by place.', () => [...directory.places.values()].map(place => [place.id, place.report.slots]), 'place');
		this.gauge('sniperidge_queued', 'Tasks that wait, by pool.', () => [...watcher.config.tables.pools.keys()].map(pool => [pool, dispatcher.load(pool).queued]), 'pool');
		this.gauge('sniperidge_store_writes_total', 'Batches written to the table service.', () => [['batch', batch.writeCount]], 'kind');
		this.gauge('sniperidge_under_way', 'Jobs and requests under way.', () => [['all', jobs.size]], 'kind');
		this.gauge('sniperidge_config_version', 'The configuration in force.', () => [['entry', watcher.config.version]], 'process');
		this.gauge('sniperidge_config_age_seconds', 'Time since the configuration was read.', () => [['entry', watcher.ageMs / 1000]], 'process');
	}

	private gauge(name: string, help: string, read: () => Array<[string, number]>, label: string): void {
		const gauge = new Gauge({
			name, help, labelNames: [label], registers: [this.registry],
			collect() {
				gauge.reset();
				for (const [key, value] of read()) {
					gauge.set({[label]: key}, value);
				}
			},
		});
	}
}
