/** The times of `src/ephemeral/link.ts`, in milliseconds. */
const heartbeatMs = 200;
const silenceMs = 700;
const idleHeartbeatMs = 1000;
const idleSilenceMs = 2600;

/** Timeline carries out what is due in simulated time, in milliseconds. */
export class Timeline {
	static create(): Timeline {
		return new Timeline();
	}

	now = 0;
	private readonly due: Array<{at: number; go: () => void}> = [];

	private constructor() {
		// Created by `create`.
	}

	at(at: number, go: () => void): void {
		const time = Math.max(at, this.now);
		let index = this.due.length;
		while (index > 0 && this.due[index - 1]!.at <= time) {
			index--;
		}

		// The latest comes first, and among those of one time the one added last.
		this.due.splice(index, 0, {at: time, go});
	}

	run(until: number): void {
		while (this.due.length > 0 && this.due.at(-1)!.at <= until) {
			const {at, go} = this.due.pop()!;
			this.now = at;
			go();
		}

		this.now = until;
	}
}

/** Process is one incarnation of an event loop: timers, then input, then immediates, 1 ms apart, so that it can stand still in between. */
export class Process {
	static create(timeline: Timeline): Process {
		return new Process(timeline);
	}

	isAlive = true;
	frozenUntil = 0;
	slowUntil = 0;
	everyMs = 0;
	private nextTurnAt = 0;
	private isTurning = false;
	private wakesAt = Number.POSITIVE_INFINITY;
	private readonly input: Array<() => void> = [];
	private readonly immediates: Array<() => void> = [];
	private readonly timers = new Set<{at: number; go: () => void; everyMs?: number}>();

	private constructor(private readonly timeline: Timeline) {}

	get isFrozen(): boolean {
		return this.timeline.now < this.frozenUntil;
	}

	/** Input that has arrived. */
	post(go: () => void): void {
		this.input.push(go);
		this.wake(this.timeline.now);
	}

	immediate(go: () => void): void {
		this.immediates.push(go);
		this.wake(this.timeline.now);
	}

	after(ms: number, go: () => void): void {
		this.timers.add({at: this.timeline.now + ms, go});
		this.wake(this.timeline.now + ms);
	}

	repeat(everyMs: number, go: () => void): void {
		this.timers.add({at: this.timeline.now + everyMs, go, everyMs});
		this.wake(this.timeline.now + everyMs);
	}

	private wake(at: number): void {
		if (this.isTurning || at >= this.wakesAt) {
			return;
		}

		this.wakesAt = at;
		this.timeline.at(Math.max(at, this.nextTurnAt), () => {
			if (at === this.wakesAt && !this.isTurning && this.isAlive) {
				this.isTurning = true;
				this.phase(() => {
					this.runTimers();
				}, () => {
					this.phase(() => {
						this.take(this.input);
					}, () => {
						this.phase(() => {
							this.take(this.immediates);
						}, () => {
							this.endTurn();
						});
					});
				});
			}
		});
	}

	/** Carries out one phase, once the process runs, and then goes on. */
	private phase(go: () => void, next: () => void): void {
		if (!this.isAlive) {
			return;
		}

		if (this.isFrozen) {
			this.timeline.at(this.frozenUntil, () => {
				this.phase(go, next);
			});
			return;
		}

		go();
		if (this.input.length + this.immediates.length === 0) {
			this.endTurn();
		} else {
			this.timeline.at(this.timeline.now + 1, next);
		}
	}

	private endTurn(): void {
		const {now} = this.timeline;
		this.isTurning = false;
		this.wakesAt = Number.POSITIVE_INFINITY;
		this.nextTurnAt = now < this.slowUntil ? now + this.everyMs : now;
		if (this.input.length + this.immediates.length > 0) {
			this.wake(now);
			return;
		}

		let first = Number.POSITIVE_INFINITY;
		for (const {at} of this.timers) {
			first = Math.min(first, at);
		}

		if (first < Number.POSITIVE_INFINITY) {
			this.wake(Math.max(first, now));
		}
	}

	private runTimers(): void {
		const {now} = this.timeline;
		for (const timer of [...this.timers].filter(({at}) => at <= now).toSorted((a, b) => a.at - b.at)) {
			if (timer.everyMs === undefined) {
				this.timers.delete(timer);
			} else {
				timer.at = now + timer.everyMs;
			}

			timer.go();
		}
	}

	private take(list: Array<() => void>): void {
		// What is added meanwhile belongs to the next turn.
		for (const go of list.splice(0)) {
			go();
		}
	}
}

type Beat = {kind: 'beat'; needed: boolean};

/** What an end of a link calls. */
type Handler<In, Out> = {
	receive(message: In): void;
	ended(): void;
	beforeFlush(pending: Out[]): void;
	isNeeded(): boolean;
	isOverdue?(): boolean;
};

/** End is one end of a link, with the silence rules of `src/ephemeral/link.ts`. */
export class End<In, Out> {
	static create<In, Out>(timeline: Timeline, process: Process, send: (block: Out[], beats: Beat[]) => void, close: () => void): End<In, Out> {
		return new End<In, Out>(timeline, process, send, close);
	}

	handler?: Handler<In, Out>;
	hasEnded = false;
	private receivedAt: number;
	private sentAt: number;
	private neededSince?: number;
	private neededUntil = 0;
	private pending: Out[] = [];
	private beats: Beat[] = [];
	private isScheduled = false;

	private constructor(
		private readonly timeline: Timeline,
		readonly process: Process,
		private readonly sendBlock: (block: Out[], beats: Beat[]) => void,
		private readonly closeConnection: () => void,
	) {
		this.receivedAt = timeline.now;
		this.sentAt = timeline.now;
	}

	send(message: Out, before?: Out): void {
		const index = before === undefined ? -1 : this.pending.indexOf(before);
		this.pending.splice(index === -1 ? this.pending.length : index, 0, message);
		this.schedule();
	}

	/** Takes back a message that has not been sent. */
	withdraw(message: Out): void {
		this.pending = this.pending.filter(waiting => waiting !== message);
	}

	/** Reads a block that has arrived. */
	read(block: In[], beats: Beat[]): void {
		if (this.hasEnded) {
			return;
		}

		this.receivedAt = this.timeline.now;
		for (const {needed} of beats) {
			this.neededUntil = needed ? this.timeline.now + silenceMs : this.neededUntil;
		}

		for (const message of block) {
			if (!this.hasEnded) {
				this.handler?.receive(message);
			}
		}
	}

	check(): void {
		const {now} = this.timeline;
		if (this.hasEnded || !this.handler) {
			return;
		}

		const isNeeded = this.handler.isNeeded();
		this.neededSince = isNeeded ? this.neededSince ?? now : undefined;
		if (this.isDead()) {
			this.process.immediate(() => {
				if (!this.hasEnded && this.isDead()) {
					this.end();
				}
			});
		} else if (now - this.sentAt >= (isNeeded || now < this.neededUntil ? heartbeatMs : idleHeartbeatMs)) {
			this.beats.push({kind: 'beat', needed: isNeeded});
			this.schedule();
		}
	}

	/** Ends the link here. The other end is told, unless it was the one that ended it. */
	end(byOther = false): void {
		if (!this.hasEnded) {
			this.hasEnded = true;
			if (!byOther) {
				this.closeConnection();
			}

			this.handler?.ended();
		}
	}

	private isDead(): boolean {
		const {now} = this.timeline;
		const isSilent = this.neededSince === undefined ? now - this.receivedAt > idleSilenceMs : now - Math.max(this.receivedAt, this.neededSince) > silenceMs;
		return isSilent || this.handler?.isOverdue?.() === true;
	}

	private schedule(): void {
		if (this.isScheduled) {
			return;
		}

		this.isScheduled = true;
		this.process.immediate(() => {
			this.isScheduled = false;
			if (this.hasEnded) {
				return;
			}

			this.handler?.beforeFlush(this.pending);
			this.sentAt = this.timeline.now;
			this.sendBlock(this.pending, this.beats);
			this.pending = [];
			this.beats = [];
		});
	}
}

/** Path is one direction of the network between an entry and a sidecar. It keeps the order of what it carries. */
export class Path {
	static create(timeline: Timeline, delayMs: number): Path {
		return new Path(timeline, delayMs);
	}

	cutUntil = 0;
	private lastAt = 0;

	private constructor(private readonly timeline: Timeline, private readonly delayMs: number) {}

	get isCut(): boolean {
		return this.timeline.now < this.cutUntil;
	}

	carry(go: () => void): void {
		this.lastAt = Math.max(this.timeline.now + this.delayMs, this.cutUntil, this.lastAt);
		this.timeline.at(this.lastAt, go);
	}
}
