import {create} from '@bufbuild/protobuf';
import {JoinRequestSchema} from '../../gen/sniperidge/v1/peer_pb.js';
import type {Clock} from '../ports/clock.js';
import type {Peers} from '../ports/peer.js';
import {results} from '../results.js';
import type {Feed} from './feed.js';
import type {Answered} from './submission.js';

/** Parts is what owners are asked with. */
export type Parts = {clock: Clock; peers: Peers; feed: Feed};

/** Told is what an owner said of its job; `silent` when it did not answer. */
export type Told = {kind: 'ended'; answered: Answered} | {kind: 'running'} | {kind: 'unknown'} | {kind: 'silent'};

/** How long the owner of a claim is asked at a time, and how often in vain before its claim is taken, in milliseconds. */
const joinWaitMs = 1000;
const joinGraceMs = 500;
const joinTries = 2;
const againMs = 200;

/** Owners asks the entries that own claims for the outcomes of their jobs. */
export class Owners {
	static create(parts: Parts): Owners {
		return new Owners(parts);
	}

	private constructor(private readonly parts: Parts) {}

	/** Waits for the outcome at a claim's owner; resolves to nothing when the owner is not there or does not know the job. */
	async wait(key: string, owner: string, deadline: number): Promise<Answered | undefined> {
		const {clock} = this.parts;
		let silent = 0;
		while (clock.mono() < deadline) {
			const told = await this.ask(key, owner, false);
			switch (told.kind) {
				case 'ended': {
					return told.answered;
				}

				case 'unknown': {
					return undefined;
				}

				case 'running': {
					silent = 0;
					break;
				}

				case 'silent': {
					silent++;
					if (silent >= joinTries) {
						return undefined;
					}

					await clock.sleep(againMs);
					break;
				}
			}
		}

		return {code: results.deadlinePassed.code};
	}

	/** Asks an owner once for the outcome of its job, which it may take a while to give, or to cancel it as well. */
	async ask(key: string, owner: string, cancel: boolean): Promise<Told> {
		const address = this.parts.feed.sessions.get(owner)?.value.address;
		if (address === undefined) {
			return {kind: 'silent'};
		}

		try {
			const request = create(JoinRequestSchema, {claim: key, waitMs: joinWaitMs, cancel});
			const reply = await this.parts.peers.entry(address).join(request, {timeoutMs: joinWaitMs + joinGraceMs});
			if (reply.state === 'ended' && reply.session === owner) {
				return {kind: 'ended', answered: JSON.parse(reply.outcome) as Answered};
			}

			return {kind: reply.state === 'running' && reply.session === owner ? 'running' : 'unknown'};
		} catch {
			return {kind: 'silent'};
		}
	}
}
