/** Budget is what retries and hedges may spend: a share of fresh requests, so that trouble does not multiply messages. */
export type RetryBudget = {tokens: number};

/** The part of fresh traffic that may be sent again. */
const tokensPerRequest = 0.05;
/** The tokens that may pile up while all is well. */
const maxTokens = 10;

/** The budget of a process that has just started. */
export const initialRetryBudget: RetryBudget = {tokens: maxTokens / 2};

/** Returns the budget after one fresh request. */
export function creditRequest(budget: RetryBudget): RetryBudget {
	return {tokens: Math.min(maxTokens, budget.tokens + tokensPerRequest)};
}

/** Returns the budget after one request sent again, or nothing when it may not be. */
export function spendRetry(budget: RetryBudget): RetryBudget | undefined {
	return budget.tokens >= 1 ? {tokens: budget.tokens - 1} : undefined;
}

/** Fate is what becomes of a task after an answer that was not its result. */
export type RetryDecision = 'place-again' | 'ask-again' | 'fail';

/** Loss is what came instead of a result. `unknown` means that the work may have started. */
export type AttemptFailure = 'refused' | 'no-reply' | 'failed' | 'unknown';

/**
 * Decides the fate of a task. Only a definite refusal frees a task that must not be repeated; one
 * whose reply is missing is asked for again at the same place.
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
