/**
 * ByteBudget limits what a number of holders keep in memory together. While they keep more, the one that keeps the most
 * has to give way; of equal ones the first. One that keeps little is thus not displaced by those that keep much.
 */
export class ByteBudget<Holder> {
	static create<Holder>(limitBytes: number): ByteBudget<Holder> {
		return new ByteBudget(limitBytes);
	}

	/** The bytes that all holders keep. */
	heldBytes = 0;
	private readonly holders = new Map<Holder, number>();

	private constructor(private readonly limitBytes: number) {}

	/** Records how many bytes a holder keeps, 0 for none. */
	set(holder: Holder, bytes: number): void {
		this.heldBytes += bytes - (this.holders.get(holder) ?? 0);
		if (bytes > 0) {
			this.holders.set(holder, bytes);
		} else {
			this.holders.delete(holder);
		}
	}

	/** Takes out the holders that have to give way, and returns them. */
	takeDisplaced(): Holder[] {
		const displaced: Holder[] = [];
		while (this.heldBytes > this.limitBytes) {
			let largest: Holder | undefined;
			let most = 0;
			for (const [holder, bytes] of this.holders) {
				if (bytes > most) {
					largest = holder;
					most = bytes;
				}
			}

			if (largest === undefined) {
				break;
			}

			this.set(largest, 0);
			displaced.push(largest);
		}

		return displaced;
	}
}
