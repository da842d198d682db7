/**
 * RatioQuantiles learns high quantiles of a positive ratio from a stream of values, in fixed memory: weights by
 * logarithmic step of the ratio. Each new value outweighs the earlier ones by `growth`, so that old values lose influence.
 */
export class RatioQuantiles {
	static create(): RatioQuantiles {
		return new RatioQuantiles(new Float32Array(steps));
	}

	/** The number of values observed. */
	private count = 0;
	private total = 0;
	private nextWeight = 1;

	private constructor(private readonly weights: Float32Array) {}

	/** Learns from one value. Values outside the range count as its nearest end. Returns itself. */
	observe(ratio: number): this {
		const step = Math.floor(Math.log(ratio / minRatio) / stepLog);
		this.weights[Math.min(steps - 1, Math.max(0, step))]! += this.nextWeight;
		this.total += this.nextWeight;
		this.count++;
		this.nextWeight *= growth;
		if (this.nextWeight > maxWeight) {
			this.scaleDown();
		}

		return this;
	}

	/** Returns the ratio that a share of the values does not exceed, rounded up to its step; undefined after fewer than `minCount` values. */
	quantile(share: number): number | undefined {
		if (this.count < minCount) {
			return undefined;
		}

		const above = this.total * (1 - share);
		let sum = 0;
		let step = steps - 1;
		while (step > 0 && sum + this.weights[step]! <= above) {
			sum += this.weights[step]!;
			step--;
		}

		return minRatio * Math.exp((step + 1) * stepLog);
	}

	private scaleDown(): void {
		this.total = 0;
		for (let step = 0; step < steps; step++) {
			this.weights[step]! /= this.nextWeight;
			this.total += this.weights[step]!;
		}

		this.nextWeight = 1;
	}
}

/** The range of ratios told apart, and the number of steps in it, which makes a step a tenth of the ratio. */
const minRatio = 0.25;
export const maxRatio = 16;
const steps = 44;
const stepLog = Math.log(maxRatio / minRatio) / steps;
/** A quantile of fewer values than this says little. */
const minCount = 20;
/** Makes a value lose half of its weight in some 700 further ones, so that the 99th percentile rests on some ten values above it. */
const growth = 1.001;
/** Weights are scaled down when a new value would weigh more, far below the limit of single precision. */
const maxWeight = 1e6;
