/** RetryBudget limits retries and hedges to a share of first requests, so that failures do not multiply traffic. */
export type RetryBudget = {tokens: number};

/** Tokens earned by a first request: the share of traffic that may be retried. */
const tokensPerRequest = 0.05;
/** The most tokens that may accumulate without failures. */
const maxTokens = 10;

/** The budget of a process that has just started. */
export const initialRetryBudget: RetryBudget = {tokens: maxTokens / 2};

/** Returns the budget after one first request. */
export function creditRequest(budget: RetryBudget): RetryBudget {
	return {tokens: Math.min(maxTokens, budget.tokens + tokensPerRequest)};
}

/** Returns the budget after one retry, or undefined when no retry is allowed. */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
	return budget.tokens >= 1 ? {tokens: budget.tokens - 1} : undefined;
}

/** RetryDecision is what happens to a task after an attempt that gave no result. */
export type RetryDecision = 'place-again' | 'ask-again' | 'fail';

/** AttemptFailure is why an attempt gave no result. `unknown` means that the work may have started. */
export type AttemptFailure = 'refused' | 'no-reply' | 'failed' | 'unknown';

/**
 * Decides what happens to a task after a failed attempt. A task that must not be repeated is placed
 * again only after a definite refusal; after a missing reply the same place is asked again.
 */
export function decideRetry(failure: AttemptFailure, repeatable: boolean, mayRepeat: boolean, sessionEnded: boolean): RetryDecision {
	switch (failure) {
		case 'refused': {
			return 'place-again';
		}

		case 'no-reply': {
			if (!sessionEnded) {
				return 'ask-again';
			}

			return repeatable && mayRepeat ? 'place-again' : 'fail';
		}

		case 'failed':
		case 'unknown': {
			return repeatable && mayRepeat ? 'place-again' : 'fail';
		}
	}
}
