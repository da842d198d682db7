import {create} from '@bufbuild/protobuf';
import {JoinRequestSchema} from '../../gen/sniperidge/v1/peer_pb.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import {results} from '../results.js';
import type {TableWatcher} from './table-watcher.js';
import type {JobAnswer} from './submission.js';

/** Parts is what owners are asked with. */
export type Dependencies = {clock: Clock; peers: Peers; watcher: TableWatcher};

/** Told is what an owner said of its job; `silent` when it did not answer. */
export type OwnerReply = {kind: 'ended'; answer: JobAnswer} | {kind: 'running'} | {kind: 'unknown'} | {kind: 'silent'};

/** How long the owner of a claim is asked at a time, and how often in vain before its claim is taken, in milliseconds. */
const joinWaitMs = 1000;
const joinGraceMs = 500;
const maxUnansweredJoins = 2;
const retryPauseMs = 200;

/** Owners asks the entries that own claims for the outcomes of their jobs. */
export class OwnerClient {
	static create(dependencies: Dependencies): OwnerClient {
		return new OwnerClient(dependencies);
	}

	private constructor(private readonly dependencies: Dependencies) {}

	/** Waits for the outcome at a claim's owner; resolves to nothing when the owner is not there or does not know the job. */
	async waitForOutcome(key: string, owner: string, deadline: number): Promise<JobAnswer | undefined> {
		const {clock} = this.dependencies;
		let unansweredJoins = 0;
		while (clock.mono() < deadline) {
			const reply = await this.requestOutcome(key, owner, false);
			switch (reply.kind) {
				case 'ended': {
					return reply.answer;
				}

				case 'unknown': {
					return undefined;
				}

				case 'running': {
					unansweredJoins = 0;
					break;
				}

				case 'silent': {
					unansweredJoins++;
					if (unansweredJoins >= maxUnansweredJoins) {
						return undefined;
					}

					await clock.sleep(retryPauseMs);
					break;
				}
			}
		}

		return {code: results.deadlinePassed.code};
	}

	/** Asks an owner once for the outcome of its job, which it may take a while to give, or to cancel it as well. */
	async requestOutcome(key: string, owner: string, cancel: boolean): Promise<OwnerReply> {
		const address = this.dependencies.watcher.sessions.get(owner)?.value.address;
		if (address === undefined) {
			return {kind: 'silent'};
		}

		try {
			const request = create(JoinRequestSchema, {claim: key, waitMs: joinWaitMs, cancel});
			const reply = await this.dependencies.peers.entry(address).join(request, {timeoutMs: joinWaitMs + joinGraceMs});
			if (reply.state === 'ended' && reply.session === owner) {
				return {kind: 'ended', answer: JSON.parse(reply.outcome) as JobAnswer};
			}

			return {kind: reply.state === 'running' && reply.session === owner ? 'running' : 'unknown'};
		} catch {
			return {kind: 'silent'};
		}
	}
}
