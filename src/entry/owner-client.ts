import {create} from '@bufbuild/protobuf';
import {JoinRequestSchema} from '../../gen/sniperidge/v1/peer_pb.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import {results} from '../results.js';
import type {TableWatcher} from './table-watcher.js';
import type {JobAnswer} from './submission.js';

/** Dependencies of the client. */
export type Dependencies = {clock: Clock; peers: Peers; watcher: TableWatcher};

/** OwnerReply is an owner's reply about its job; `no-reply` when it did not answer. */
export type OwnerReply = {kind: 'ended'; answer: JobAnswer} | {kind: 'running'} | {kind: 'unknown'} | {kind: 'no-reply'};

/** How long one request to a claim's owner waits and the grace for its reply, in milliseconds, and how many unanswered requests in a row end the wait. */
const joinWaitMs = 1000;
const joinGraceMs = 500;
const maxUnansweredJoins = 2;
const retryPauseMs = 200;

/** OwnerClient requests the outcomes of jobs from the entries that own their claims. */
export class OwnerClient {
	static create(dependencies: Dependencies): OwnerClient {
		return new OwnerClient(dependencies);
	}

	private constructor(private readonly dependencies: Dependencies) {}

	/** Waits for the outcome from a claim's owner; resolves to undefined when the owner does not answer or does not know the job. */
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

				case 'no-reply': {
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

	/** Requests the outcome of a job from its owner once, as a long poll; with `cancel` the owner also cancels the job. */
	async requestOutcome(key: string, owner: string, cancel: boolean): Promise<OwnerReply> {
		const address = this.dependencies.watcher.sessions.get(owner)?.value.address;
		if (address === undefined) {
			return {kind: 'no-reply'};
		}

		try {
			const request = create(JoinRequestSchema, {claim: key, waitMs: joinWaitMs, cancel});
			const reply = await this.dependencies.peers.entry(address).join(request, {timeoutMs: joinWaitMs + joinGraceMs});
			if (reply.state === 'ended' && reply.session === owner) {
				return {kind: 'ended', answer: JSON.parse(reply.outcome) as JobAnswer};
			}

			return {kind: reply.state === 'running' && reply.session === owner ? 'running' : 'unknown'};
		} catch {
			return {kind: 'no-reply'};
		}
	}
}
