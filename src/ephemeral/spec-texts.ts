import {Buffer} from 'node:buffer';

/** The most that a sidecar holds of one link's texts, in bytes: some 1,700 jobs of the usual 2,400. */
export const textLimitBytes = 4_000_000;
/** What a text counts beyond its length, in bytes, so that the number of empty texts is limited too. */
const textOverheadBytes = 64;

function costOf(text: string): number {
	return Buffer.byteLength(text) + textOverheadBytes;
}

/** SentTexts is an entry's record of the texts that a sidecar holds for it, by job. A text has been sent once per link, and counts until the sidecar was told to forget it. */
export class SentTexts {
	static create(limitBytes = textLimitBytes): SentTexts {
		return new SentTexts(limitBytes);
	}

	private readonly byJob = new Map<string, {id: number; bytes: number}>();
	private forgettable: Array<{id: number; bytes: number}> = [];
	private heldBytes = 0;
	private nextId = 1;

	private constructor(private readonly limitBytes: number) {}

	/** Returns the id under which the sidecar holds a job's text, if it does. */
	idOf(job: string): number | undefined {
		return this.byJob.get(job)?.id;
	}

	/** Records a text that is about to be sent and returns its id, or `undefined` if the sidecar has no room for it. */
	add(job: string, text: string): number | undefined {
		const bytes = costOf(text);
		if (this.heldBytes + bytes > this.limitBytes) {
			return undefined;
		}

		const id = this.nextId++;
		this.heldBytes += bytes;
		this.byJob.set(job, {id, bytes});
		return id;
	}

	/** Records that a job's text is needed no more. */
	release(job: string): void {
		const text = this.byJob.get(job);
		if (text) {
			this.byJob.delete(job);
			this.forgettable.push(text);
		}
	}

	/** The same for all texts, so that each is sent again where it is needed. */
	releaseAll(): void {
		for (const job of this.byJob.keys()) {
			this.release(job);
		}
	}

	/** Returns the ids that the sidecar is to be told to forget now. */
	takeForgettable(): number[] {
		const ids: number[] = [];
		for (const {id, bytes} of this.forgettable) {
			ids.push(id);
			this.heldBytes -= bytes;
		}

		this.forgettable = [];
		return ids;
	}
}

/** HeldTexts holds the texts that one entry has sent to a sidecar on one link. */
export class HeldTexts {
	static create(limitBytes = textLimitBytes): HeldTexts {
		return new HeldTexts(limitBytes);
	}

	private readonly texts = new Map<number, string>();
	private heldBytes = 0;

	private constructor(private readonly limitBytes: number) {}

	/** The number of texts. */
	get size(): number {
		return this.texts.size;
	}

	get(id: number): string | undefined {
		return this.texts.get(id);
	}

	/** Adds a text, and returns whether all are still within the limit. */
	add(id: number, text: string): boolean {
		this.forget([id]);
		this.texts.set(id, text);
		this.heldBytes += costOf(text);
		return this.heldBytes <= this.limitBytes;
	}

	/** Drops texts. Ids that are not known are ignored. */
	forget(ids: readonly number[]): void {
		for (const id of ids) {
			const text = this.texts.get(id);
			if (text !== undefined) {
				this.texts.delete(id);
				this.heldBytes -= costOf(text);
			}
		}
	}
}
