/** TokenBucket limits a rate: it holds at most `most` tokens and gets `perSecond` new ones a second. */
export class TokenBucket {
	static create(most: number, perSecond: number): TokenBucket {
		return new TokenBucket(most, perSecond);
	}

	private tokens: number;
	private filledAt?: number;

	private constructor(private readonly most: number, private readonly perSecond: number) {
		this.tokens = most;
	}

	/** Takes a token, and returns whether there was one. `now` is in monotonic milliseconds. */
	take(now: number): boolean {
		const passedMs = Math.max(0, now - (this.filledAt ?? now));
		this.tokens = Math.min(this.most, this.tokens + (passedMs * this.perSecond / 1000));
		this.filledAt = now;
		if (this.tokens < 1) {
			return false;
		}

		this.tokens--;
		return true;
	}
}
