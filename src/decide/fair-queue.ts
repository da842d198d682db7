import {push, pop, type Heap} from './heap.js';

/** QueuedTask is a waiting task with its client account, its deadline and its expected time. */
export type QueuedTask = {member: string; deadline: number; costMs: number};

type MemberQueue<Task> = {heap: Heap<Task>; finish: number};

/**
 * FairQueue holds the tasks that wait for one pool and shares the pool among client accounts by weight.
 *
 * It is weighted fair queueing on service time: the member with the lowest virtual finish time goes
 * first, and within a member the task with the earliest deadline. A member that was idle starts from
 * the current virtual time of the queue, so being idle earns no credit. Immutable.
 */
export class FairQueue<Task extends QueuedTask> {
	static create<Task extends QueuedTask>(): FairQueue<Task> {
		return new FairQueue(new Map(), 0, 0, 0);
	}

	private constructor(
		private readonly memberQueues: ReadonlyMap<string, MemberQueue<Task>>,
		private readonly virtualTime: number,
		/** The tasks that wait. */
		readonly size: number,
		/** The sum of their costs in milliseconds. */
		readonly costMs: number,
	) {}

	/** Returns the queue with the task added. */
	enqueue(task: Task): FairQueue<Task> {
		const line = this.memberQueues.get(task.member);
		const wasIdle = !line?.heap;
		const finish = wasIdle ? Math.max(line?.finish ?? 0, this.virtualTime) : line.finish;
		const next = {heap: push(line?.heap, task.deadline, task), finish};
		return new FairQueue(new Map(this.memberQueues).set(task.member, next), this.virtualTime, this.size + 1, this.costMs + task.costMs);
	}

	/** Returns the next task, or undefined when none waits. `skip` excludes members that may not start now. */
	peek(skip?: (member: string) => boolean): Task | undefined {
		return this.nextMember(skip)?.[1].heap?.value;
	}

	/** Returns the queue without the first task of this member, charging its cost by the member's weight. */
	dequeue(member: string, weight: number): FairQueue<Task> {
		const line = this.memberQueues.get(member);
		if (!line?.heap) {
			return this;
		}

		const {costMs} = line.heap.value;
		const next = {heap: pop(line.heap), finish: line.finish + (costMs / weight)};
		return new FairQueue(new Map(this.memberQueues).set(member, next), Math.max(this.virtualTime, line.finish), this.size - 1, this.costMs - costMs);
	}

	/** Returns the queue without the first task of this member, without charging its cost: it was withdrawn. */
	withdraw(member: string): FairQueue<Task> {
		return this.dequeue(member, Number.POSITIVE_INFINITY);
	}

	private nextMember(skip?: (member: string) => boolean): [string, MemberQueue<Task>] | undefined {
		let best: [string, MemberQueue<Task>] | undefined;
		for (const entry of this.memberQueues) {
			const [member, line] = entry;
			if (line.heap && (!best || line.finish < best[1].finish) && !skip?.(member)) {
				best = entry;
			}
		}

		return best;
	}
}
